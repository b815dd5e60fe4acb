"""Tests of the commands that query entry instances, against a small server."""

import http.server
import json
import threading
import urllib.parse

from cassiaford.config import Customer, PutCustomer
from cassiaford.fleet import Author
from tests.test_cli_configuration import CommandCase

TOKEN = "an operator's long token"


class FakeInstance:
    """A server that serves the status and the entries of an instance."""

    def __init__(self, name, revision):
        self.status = {
            "instance": name,
            "incarnation": 1,
            "data_centre": "cluj",
            "revision": revision,
            "ready": True,
            "draining": False,
            "in_flight": 3,
            "members": [],
        }
        instance = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                instance.handle_get(self)

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def handle_get(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        if url.path == "/cassiaford/v1/entries":
            customer = urllib.parse.parse_qs(url.query)["customer"][0]
            entry = {"instance": customer, "http_address": self.address}
            self.respond(handler, 200, {"entries": [entry], "max_age_s": 5})
        elif handler.headers["Authorization"] != f"Bearer {TOKEN}":
            self.respond(handler, 401, {"error": {"message": "wrong token"}})
        else:
            self.respond(handler, 200, self.status)

    def respond(self, handler, status, document):
        body = json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class QueryTest(CommandCase):
    def setUp(self):
        super().setUp()
        self.log.append(
            self.log.load(), [PutCustomer(Customer("academy", 1, 1))], Author("o")
        )
        self.instances = [FakeInstance("entry-1", 1), FakeInstance("entry-2", 1)]
        for instance in self.instances:
            self.addCleanup(instance.stop)
        self.instances[0].status["members"] = [
            {"instance": one.status["instance"], "http_address": one.address}
            for one in self.instances
        ]

    def query(self, *arguments, code=0, service=False, token=TOKEN):
        options = ("--instance", self.instances[0].address, "--token", token)
        return self.run_command(*arguments, *options, code=code, service=service)

    def test_status_shows_every_member(self):
        documents = json.loads(self.query("status", "--json").output)
        self.assertEqual([d["instance"] for d in documents], ["entry-1", "entry-2"])
        self.assertIn("ready", self.query("status").output)

    def test_an_unresponsive_member_is_shown_and_sets_the_exit_code(self):
        member = {"instance": "entry-3", "http_address": "127.0.0.1:1"}
        self.instances[0].status["members"].append(member)
        result = self.query("status", code=4)
        rows = [line.split() for line in result.stdout.splitlines()]
        self.assertIn(["entry-3", "127.0.0.1:1", "-", "no", "answer", "-"], rows)
        self.assertIn("entry-3: instance at 127.0.0.1:1: ", result.stderr)

    def test_a_wrong_token_is_a_clear_error(self):
        output = self.query("status", code=1, token="wrong").output
        self.assertIn("401 wrong token", output)

    def test_no_instance_is_a_clear_error(self):
        self.instances[0].address = "127.0.0.1:1"
        self.assertNotIn("Traceback", self.query("status", code=4).output)
        self.run_command("status", code=1, service=False)

    def test_sheet_status_finds_the_instance_that_is_behind(self):
        self.query("sheet", "status", service=True)
        self.instances[1].status["revision"] = 0
        document = json.loads(
            self.query("sheet", "status", "--json", service=True, code=1).output
        )
        self.assertEqual(document["newest"], 1)
        self.assertEqual(
            [row["in_force"] for row in document["instances"]], ["yes", "no"]
        )

    def test_entries_prints_addresses(self):
        address = self.instances[0].address
        output = self.run_command(
            "entries", "academy", "--instance", address, service=False
        ).output
        self.assertEqual(output.split(), [address])


# Keeps the test loader from collecting the imported base class.
del CommandCase
