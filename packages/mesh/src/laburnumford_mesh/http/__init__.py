"""HTTP/1.1 connections that carry whole messages: callers on one side, backend servers on the other."""
