"""Fixtures shared by the tests of laburnumford_client."""

import http.server
import pathlib
import sys
import threading

import pytest

from laburnumford_client import main

EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"


class _QuietServer(http.server.ThreadingHTTPServer):
    """HTTP server that prints no errors, such as a connection that the client closed.

    The tests check the output of the client, which runs in the same process.
    """

    def handle_error(self, request, client_address):
        pass


@pytest.fixture
def run_main(monkeypatch, capsys):
    """Returns a function that runs the client in this process.

    The function returns the exit status, standard output and standard error.
    """

    def run(*arguments: str) -> tuple[object, str, str]:
        monkeypatch.setattr(sys, "argv", ["laburnumford", *arguments])
        monkeypatch.setenv("COLUMNS", "200")
        with pytest.raises(SystemExit) as stopped:
            main.main()
        output = capsys.readouterr()
        return stopped.value.code, output.out, output.err

    return run


@pytest.fixture
def serve_pages():
    """Returns a function that starts a server for pages by path and returns its address."""
    servers = []

    def serve(bodies_by_path: dict[str, bytes], status: int = 200) -> str:
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                body = bodies_by_path.get(self.path.partition("?")[0])
                self.send_response(404 if body is None else status)
                self.send_header("location", "http://127.0.0.1:1/status")
                self.end_headers()
                self.wfile.write(body or b"")

            def log_message(self, *arguments: object) -> None:
                """Suppresses the access log; the tests check the standard error of the client."""

        server = _QuietServer(("127.0.0.1", 0), Handler)
        servers.append(server)
        threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01}).start()
        return f"127.0.0.1:{server.server_address[1]}"

    yield serve
    for server in servers:
        server.shutdown()
        server.server_close()
