"""What the cases share: the record, the exit status, and a small system with its clients."""

import os
import signal
import sys
import time
import traceback

import deployment
import flows
import operator_calls

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "127.200.0.1"
OFFSETS = {"app": deployment.APP, "outbound": deployment.OUTBOUND, "control": deployment.CONTROL}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt in the folder of the case, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, line):
        self.file.write(f"{time.monotonic() - self.began:7.3f} {line}\n")
        self.file.flush()


class System:
    """A deployment with its servers, routers and clients."""

    def __init__(self, record, services, entries=2, clients=4, program=None):
        self.record = record
        self.deployment = deployment.Deployment(5, entries, services, program)
        self.servers, self.clients, self.router = [], [], None
        self.client_count = clients

    def start_servers(self):
        self.servers = [flows.Server(side, OFFSETS, side.fields["service"], self.record)
                        for side in self.deployment.sides]

    def start_clients(self):
        self.router = flows.Router(self.deployment.entries, deployment.DATAGRAM,
                                   deployment.READINESS, self.record)
        port = self.deployment.first_port + deployment.DATAGRAM
        self.clients = [flows.Client(f"127.64.0.{7 + n}", port, self.router, self.record)
                        for n in range(self.client_count)]

    def control_addresses(self):
        return [machine.at(deployment.CONTROL) for machine in self.deployment.controls]

    def send(self, version, routes, within_s):
        state = operator_calls.desired_state(version, routes)
        return operator_calls.send_until_acknowledged(
            self.control_addresses(), state, time.monotonic() + within_s, self.record)

    def stop(self):
        for client in self.clients:
            client.stop()
        if self.router:
            self.router.stop()
        for server in self.servers:
            server.stop()
        self.deployment.stop()


def main(folder, body):
    """Runs body(record), which returns whether the rule held, and exits with the status."""
    record = Record(folder)
    # A time-out of the script ends the processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        status = HELD if body(record) else BROKEN
    except Exception:  # Whatever went wrong, the case couldn't run.
        record("could not run: " + traceback.format_exc())
        status = COULD_NOT_RUN
    record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN",
            COULD_NOT_RUN: "the case could not run"}[status])
    print(open(os.path.join(folder, "record.txt")).read().splitlines()[-1])
    sys.exit(status)
