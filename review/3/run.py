"""Open flows of a route that moved from service to service, through an entry that was added."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import Deployment, Record, call  # noqa: E402
from flows import Client, Server  # noqa: E402

PATH = "/-/configuration"
SERVICES = [f"service-{n}" for n in range(1, 7)]
ROUTE = ("127.18.0.1", 8443)
FLOWS = 8
CHANGE_GAP_S = 1.5      # between two changes of the route
CONNECTIVITY_S = 4.0    # connectivity_window_ms of gridlog-ie
REQUEST_GAP_S = 2.0     # the flows are never idle for longer


def state(version, service):
    return json.dumps({
        "version": version,
        "routes": [{"name": "r-feed", "host": ROUTE[0], "path_prefix": f"/{ROUTE[1]}/",
                    "type": "idempotent", "timeout_ms": 2500, "target_latency_ms": 250,
                    "priority": 2, "service": service, "max_attempts": 2}],
        "services": [{"name": name, "health_path": "/health", "connection_limit": 2000,
                      "protocol": "h1", "tls": False} for name in SERVICES],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}})


class Day:
    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.controls = deployment.add_control(5)
        for machine in self.controls:
            machine.start()
        time.sleep(3)
        self.entry = deployment.add_entry(101)
        self.added = deployment.add_entry(102)
        agents = [deployment.add_agent(111 + n, name) for n, name in enumerate(SERVICES)]
        self.change(1, SERVICES[0])
        for machine in [self.entry] + agents:
            machine.start()
        self.servers = [Server(deployment, agent, agent.fields["service"], record,
                               f"server-{n}") for n, agent in enumerate(agents, 1)]
        self.wait_ready(self.entry)
        time.sleep(3)
        self.client = Client(deployment, f"{deployment.net}.201", [self.entry], ROUTE, record)
        self.flows = []

    def change(self, version, service):
        for turn in range(100):
            machine = self.controls[turn % len(self.controls)]
            status, _ = call(machine.address, self.deployment.control_port, "PUT", PATH,
                             state(version, service))
            if status == 200:
                self.record.write(f"version {version}, route to {service}: acknowledged")
                return
            time.sleep(0.1)
        raise RuntimeError("a change was not acknowledged")

    def wait_ready(self, entry):
        for _ in range(100):
            if call(entry.address, self.deployment.readiness_port, "GET", "/-/readiness")[0] == 200:
                return
            time.sleep(0.1)
        raise RuntimeError("an entry is not ready")

    def ask(self, what):
        """One request on each open flow. Returns the flows that got a whole answer."""
        before = {flow.port: flow.answer.count(b"\n") for flow in self.flows}
        for flow in self.flows:
            flow.request(f"{what}-{flow.port}")
        time.sleep(1.0)
        return [flow for flow in self.flows if flow.answer.count(b"\n") == before[flow.port] + 1]

    def pass_time(self, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.ask(what)
            time.sleep(min(REQUEST_GAP_S - 1.0, max(until - time.monotonic(), 0)))

    def open_flows(self):
        self.flows = [self.client.open() for _ in range(FLOWS)]
        answered = self.ask("first")
        if len(answered) != FLOWS or len(self.servers[0].flows) != FLOWS:
            raise RuntimeError("the flows did not open at the first service")

    def resets_of_open_flows(self):
        """Flows that the system reset while their server held them."""
        server = self.servers[0]
        held = {key[1] for key, flow in server.flows.items() if flow.is_open}
        return [port for port, _, phase, sender in self.client.resets
                if phase == "open" and sender == "the system's" and port in held]

    def end(self):
        self.client.stop()
        for server in self.servers:
            server.stop()


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    with Deployment() as deployment:
        day = Day(deployment, record)
        day.open_flows()
        for version, service in enumerate(SERVICES[1:], 2):
            if trouble:
                day.change(version, service)
            day.pass_time(CHANGE_GAP_S, f"v{version}")
        answered = day.ask("before")
        record.write(f"through the first entry {len(answered)} of {FLOWS} flows are answered")
        if len(answered) != FLOWS:
            raise RuntimeError("the flows were not answered before the entry was added")
        day.added.start()
        record.write("an entry is added")
        day.wait_ready(day.added)
        day.pass_time(CONNECTIVITY_S + 0.5, "wait")
        record.write("the routers send the flows to the added entry")
        day.client.entries = [day.added]
        answered = day.ask("after")
        resets = day.resets_of_open_flows()
        day.end()
        summary = (f"{FLOWS} open flows through the added entry: {len(answered)} answered, "
                   f"{len(resets)} reset by the system while their server held them")
        record.write(summary)
        print(summary)
        return 1 if resets else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as failure:  # the case could not run
        print("could not run:", repr(failure))
        sys.exit(2)
