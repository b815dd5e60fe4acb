"""Tests of the HTTP server over real sockets: bad input and disconnections."""

import http.client
import json
import socket
import threading
import time
import unittest

from cassiaford.instance import CallerServer
from cassiaford.pipeline import Header
from cassiaford.settings import HttpSettings
from cassiaford.verdict import Refusal

HANG_TIMEOUT_S = 20
THREADS = 2
MEET_REQUEST = b"GET /meet HTTP/1.1\r\n\r\n"


class CallerServerTest(unittest.TestCase):
    def setUp(self):
        settings = HttpSettings(
            "127.0.0.1:0",
            threads=THREADS,
            max_body_bytes=2048,
            max_header_bytes=2048,
            receive_timeout_s=0.5,
        )
        self.detached = []
        self.barrier = threading.Barrier(THREADS)
        self.server = CallerServer(settings, self.handle, lambda text: None)
        self.server.start_serving()
        self.addCleanup(self.server.stop)
        self.addCleanup(lambda: [sock.close() for sock in self.detached])
        self.address = self.server.bind_addr

    def handle(self, exchange):
        request = exchange.receive()
        if isinstance(request, Refusal):
            exchange.refuse(request, "id-1")
        elif request.target == "/detach":
            self.detached.append(exchange.detach())
        elif request.target == "/meet":
            self.barrier.wait(HANG_TIMEOUT_S)
            exchange.respond(200, (), b"met")
        else:
            exchange.respond(200, (Header("X-Body", str(len(request.body))),), b"fine")

    def wait_until(self, condition):
        end = time.monotonic() + HANG_TIMEOUT_S
        while not condition() and time.monotonic() < end:
            time.sleep(0.01)

    def connect(self):
        sock = socket.create_connection(self.address, timeout=HANG_TIMEOUT_S)
        self.addCleanup(sock.close)
        return sock

    def send(self, data):
        """Send raw bytes and return the status and error code of the response."""
        sock = self.connect()
        sock.sendall(data)
        response = http.client.HTTPResponse(sock)
        response.begin()
        body = response.read()
        if response.status == 200:
            return 200, None
        return response.status, json.loads(body)["error"]["code"]

    def assert_all_workers_live(self):
        """Check that all workers can still handle requests at the same time."""
        results = []
        callers = [
            threading.Thread(target=lambda: results.append(self.send(MEET_REQUEST)))
            for _ in range(THREADS)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(HANG_TIMEOUT_S)
        self.assertEqual(results, [(200, None)] * THREADS)

    def test_bad_input_gets_a_clear_error(self):
        long_header = b"X-A: " + b"a" * 4000 + b"\r\n"
        cases = (
            (b"nonsense\r\n\r\n", 400, "bad_request"),
            (b"GET / HTTP/9.9\r\n\r\n", 400, "bad_request"),
            (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "bad_request"),
            (b"GET / HTTP/1.1\r\n" + long_header + b"\r\n", 413, "body_too_large"),
            (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, "bad_request"),
            (b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400, "bad_request"),
            (b"POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", 413, "body_too_large"),
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                b"Content-Length: 3\r\n\r\n0\r\n\r\n",
                400,
                "bad_request",
            ),
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx",
                408,
                "request_timeout",
            ),
        )
        for data, status, code in cases:
            with self.subTest(data=data[:60]):
                self.assertEqual(self.send(data), (status, code))
        self.assert_all_workers_live()

    def test_a_slow_request_is_refused_even_if_it_progresses(self):
        for head in (b"GET /", b"POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n"):
            with self.subTest(head=head):
                sock = self.connect()
                stop = threading.Event()
                feeder = threading.Thread(target=_send_slowly, args=(sock, head, stop))
                feeder.start()
                response = http.client.HTTPResponse(sock)
                response.begin()
                error = json.loads(response.read())["error"]
                stop.set()
                feeder.join()
                self.assertEqual(response.status, 408)
                self.assertEqual(error["verdict"], "not_run")
        self.assert_all_workers_live()

    def test_an_incomplete_request_is_refused(self):
        sock = self.connect()
        sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf")
        sock.shutdown(socket.SHUT_WR)
        response = http.client.HTTPResponse(sock)
        response.begin()
        self.assertEqual(response.status, 408)

    def test_a_detached_socket_outlives_the_worker(self):
        sock = self.connect()
        sock.sendall(b"GET /detach HTTP/1.1\r\n\r\n")
        self.assert_all_workers_live()
        self.wait_until(lambda: self.detached)
        self.detached[0].sendall(b"late answer")
        self.assertEqual(sock.recv(100), b"late answer")
        self.detached[0].close()
        self.assertEqual(sock.recv(100), b"")

    def test_disconnecting_callers_do_not_kill_workers(self):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        pieces = (
            b"",
            b"GET /",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET /detach HTTP/1.1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhal",
        )
        for _ in range(10):
            for piece in pieces:
                sock = self.connect()
                # Closing with a zero linger time resets the connection.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.sendall(piece)
                sock.close()
        self.assert_all_workers_live()

    def test_a_persistent_connection_serves_several_requests(self):
        connection = http.client.HTTPConnection(*self.address, timeout=HANG_TIMEOUT_S)
        self.addCleanup(connection.close)
        for _ in range(3):
            connection.request("POST", "/", body=b"12345")
            response = connection.getresponse()
            response.read()
            self.assertEqual(response.headers["X-Body"], "5")
            self.assertEqual(response.headers["Connection"], "keep-alive")


def _send_slowly(sock, head, stop):
    try:
        sock.sendall(head)
        while not stop.is_set():
            sock.sendall(b"a")
            time.sleep(0.05)
    except OSError:
        stop.set()


if __name__ == "__main__":
    unittest.main()
