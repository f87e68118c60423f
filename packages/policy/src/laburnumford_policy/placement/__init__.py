"""Where a request goes and in which order requests wait, for servers with fast changing speed."""
