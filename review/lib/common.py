"""What the cases share: the node as a process, started with the command of the deploy file, and its stand-ins.

Only the standard library is used. Every address is on the loopback interface, every port is free, and all that a
case writes but its record is in a temporary folder. Every process that was started is ended at the end.
"""

import atexit
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "sillflow")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

_started = time.monotonic()
_processes = []
_nodes = []
_ports = set()
_folder = None
_record = None
_record_lock = threading.Lock()


class NotRun(Exception):
    """The case could not run; this says nothing of the rule."""


def now():
    """Seconds since the case began."""
    return time.monotonic() - _started


def unix_ms():
    return int(time.time() * 1000)


def note(text):
    """Writes one line to the record."""
    with _record_lock:
        _record.write("%8.3f %s\n" % (now(), text))


def say(text):
    print(text, flush=True)
    note("# " + text)


def folder(*parts):
    path = os.path.join(_folder, *parts)
    os.makedirs(path, exist_ok=True)
    return path


def free_port():
    """A port that is free for TCP and UDP, and below those that the system gives to connections by itself: a process
    that was ended finds it free when it is started again."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        if port in _ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        _ports.add(port)
        return port


def wait_for(what, seconds, condition, every=0.05):
    """Waits until a condition is true, and returns what it gave."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        got = condition()
        if got:
            return got
        time.sleep(every)
    raise NotRun("waited %.0f s for: %s" % (seconds, what))


class Node:
    """One process of the node, started as the deploy file says."""

    def __init__(self, label, config, operator=None, environment=None, tmp=None, held=None):
        self.label = label
        home = folder(label)
        self.config_path = os.path.join(home, "config.json")
        self.config = config
        self.write_config(config)
        self.environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("PROXY_", "SILLFLOW_"))
        }
        self.environment["TMPDIR"] = tmp or folder(label, "tmp")
        self.environment["PROXY_CONFIG"] = self.config_path
        self.environment["RUST_LOG"] = os.environ.get("RUST_LOG", "info")
        if operator is not None:
            path = os.path.join(home, "operator.toml")
            with open(path, "w") as file:
                file.write(operator)
            self.environment["SILLFLOW_OPERATOR"] = path
        self.environment.update(environment or {})
        self.held = held
        self.log_path = os.path.join(home, "log.txt")
        self.process = None
        _nodes.append(self)
        self.start()

    def write_config(self, config):
        """Puts a whole file in the place of the one before."""
        self.config = config
        with open(self.config_path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(self.config_path + ".new", self.config_path)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            command = re.search(r'^run\s*=\s*"(.*)"', file.read(), re.MULTILINE).group(1)
        keep = {}
        if self.held is not None:
            # The platform holds the clients' socket: every process inherits it as descriptor 4.
            self.environment["PROXY_FD"] = "4"
            command = "exec 4<&0 0</dev/null; " + command
            keep["stdin"] = self.held
        else:
            keep["stdin"] = subprocess.DEVNULL
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=self.environment, stdout=log, stderr=log, **keep
        )
        log.close()
        _processes.append(self.process)
        note("%s starts as process %d" % (self.label, self.process.pid))

    def signal(self, number):
        note("%s gets %s" % (self.label, signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process.poll() is None

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()

    def logged(self, part, seconds=30):
        def look():
            if not self.is_running():
                raise NotRun("%s has ended: %s" % (self.label, self.log()[-500:]))
            return part in self.log()

        return wait_for("'%s' in the log of %s" % (part, self.label), seconds, look)


def command(*words, seconds=20):
    """Runs a command of the operator. Gives its code, output and errors."""
    done = subprocess.run(
        [PROGRAM, *words], cwd=ROOT, stdin=subprocess.DEVNULL, capture_output=True, text=True, timeout=seconds
    )
    return done.returncode, done.stdout, done.stderr.strip()


def run(case, act):
    """Runs a case with its record, and ends with its code."""
    global _folder, _record
    if not os.path.exists(PROGRAM):
        print("the program is not built: %s" % PROGRAM)
        sys.exit(NOT_RUN)
    try:
        _folder = tempfile.mkdtemp(prefix="sillflow-review-")
        _record = open(os.path.join(os.path.dirname(os.path.abspath(case)), "record.txt"), "w")
    except OSError as problem:
        print("no record can be written: %s" % problem)
        sys.exit(NOT_RUN)
    atexit.register(_end)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    # Under the bound of 120 s, whatever happens.
    signal.alarm(115)
    say("with the disruption" if TROUBLE else "without the disruption")
    try:
        code = act()
    except NotRun as problem:
        say("not run: %s" % problem)
        code = NOT_RUN
    except Exception:
        # An error of the case itself says nothing of the rule.
        say("not run: %s" % traceback.format_exc())
        code = NOT_RUN
    if code == NOT_RUN:
        for node in _nodes:
            note("the end of the log of %s:\n%s" % (node.label, node.log()[-2000:]))
    say({HELD: "the rule held", BROKEN: "THE RULE IS BROKEN", NOT_RUN: "the case could not run"}[code])
    sys.exit(code)


def _end():
    for process in _processes:
        if process.poll() is None:
            # One that was stopped is ended as well.
            process.kill()
    for process in _processes:
        process.wait()
    _record.flush()
    if os.environ.get("KEEP"):
        print("kept: %s" % _folder)
    else:
        shutil.rmtree(_folder, ignore_errors=True)
