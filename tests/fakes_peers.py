"""An in-process peer transport that delivers messages on threads."""

import queue
import threading

from cassiaford.fleet import Member, PeerMessage, PeerTransport


class FakeTransport(PeerTransport):
    """Delivers messages to the other transports in the dictionary `fleet`.

    The next `lose` messages that are sent are lost.
    """

    def __init__(self, name, fleet):
        self.name = name
        self.fleet = fleet
        self.lose = 0
        self.handlers = {}
        self.inbox = queue.Queue()
        fleet[name] = self
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def send(self, instance, channel, body):
        if self.lose:
            self.lose -= 1
        elif instance in self.fleet:
            message = PeerMessage(self.name, 1, channel, body)
            self.fleet[instance].inbox.put(message)

    def subscribe(self, channel, handler):
        self.handlers[channel] = handler

    def members(self):
        return tuple(Member(name, 1, "dc", "", "") for name in list(self.fleet))

    def run(self):
        while (message := self.inbox.get()) is not None:
            if message.channel in self.handlers:
                self.handlers[message.channel](message)

    def close(self):
        self.inbox.put(None)
        self.thread.join(10.0)
