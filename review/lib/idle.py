"""The processor and the control plane of a node that nobody sends requests: they say what the pages want and no more."""

import json
import socket
import threading


class IdleProcessor:
    """Answers hello and usage."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            link, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link):
        try:
            for line in link.makefile("rb"):
                said = json.loads(line)
                if said["op"] == "hello":
                    answer = {"op": "hi", "end": "warm", "ms": 60000}
                elif said["op"] == "usage":
                    answer = {"op": "used", "tag": said["tag"], "values": [0.0, 0.0, 0.0, 0.0]}
                else:
                    answer = {"op": "reject", "end": said["op"], "id": said.get("id", "")}
                link.sendall(json.dumps(answer).encode() + b"\n")
        except OSError:
            pass


class Control:
    """Hears reports and answers none."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._hear, daemon=True).start()

    def _hear(self):
        while True:
            self.socket.recv(2048)
