"""A check-in of another writer names a service that the installation does not have, while an entry
is restarted as planned."""

import http.client
import json
import os
import signal
import threading
import time

import case_run
import deployment
import flows

PORT, OTHER_PORT = 8080, 8443
ROUTES = [(case_run.HOST, PORT, "logbook", "idempotent", 2500),
          (case_run.HOST, OTHER_PORT, "inspect", "upload", 5000)]
FLOWS = 36
DEADLINE_S = 2.5
# Longer than connectivity_window_ms, so that all machines are in touch.
CALM_S = 6.0
WATCHED_S = 12.0


def send_foreign_check_in(side, record):
    """All that the page asks of a check-in, but for the name of the service."""
    body = {"service": "ledger", "address": f"{side.address}:{side.at(deployment.APP)[1]}",
            "zone": side.fields["zone"], "version": "v1", "capacity": 7, "state": "ready",
            "warmup_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000)}
    connection = http.client.HTTPConnection(*side.at(deployment.CONTROL), timeout=1.0)
    connection.request("PUT", "/-/instances/i-00c0ffee", json.dumps(body),
                       {"Content-Type": "application/json"})
    response = connection.getresponse()
    record(f"another writer's check-in at {side.name}: {json.dumps(body)}: {response.status}")
    connection.close()


def use_flow(flow, until, record, results):
    """Sends requests on the open flow, with pauses, until the time is over or the flow ends."""
    while time.monotonic() < until:
        sent = time.monotonic()
        answer = flow.request(DEADLINE_S)
        if flow.reset is not None:
            is_servers = flow.reset.sum != 0
            record(f"flow {flow.name}: reset by {'its server' if is_servers else 'the system'} "
                   f"{time.monotonic() - sent:.3f} s after a request was sent; seq {flow.reset.seq}"
                   f", last ack of the client {flow.ack}")
            results["by_server" if is_servers else "by_system"].append(flow)
            return
        if answer is None:
            record(f"flow {flow.name}: no answer in {DEADLINE_S} s")
            results["silent"].append(flow)
            return
        time.sleep(0.25)
    flow.close()


def body(record):
    system = case_run.System(record, ("logbook", "logbook", "logbook", "inspect"), entries=3)
    try:
        system.deployment.start()
        system.start_servers()
        if not system.send(7, ROUTES, 20):
            raise RuntimeError("the desired state was not acknowledged")
        system.start_clients()
        time.sleep(CALM_S)
        opened = []
        for number in range(FLOWS):
            flow = flows.Flow(system.clients[number % len(system.clients)], case_run.HOST, PORT)
            if not flow.open() or flow.request(DEADLINE_S) is None:
                raise RuntimeError("a flow could not be opened in calm")
            opened.append(flow)
        record(f"{len(opened)} flows are open; at each server: "
               + ", ".join(f"{s.side.name} {len(s.opened)}" for s in system.servers))
        results = {"by_system": [], "by_server": [], "silent": []}
        until = time.monotonic() + WATCHED_S
        users = [threading.Thread(target=use_flow, args=(flow, until, record, results))
                 for flow in opened]
        for user in users:
            user.start()
        time.sleep(1.0)
        leaving = system.deployment.entries[0]
        record(f"planned work: SIGTERM to {leaving.name}")
        leaving.send(signal.SIGTERM)
        if case_run.has_trouble():
            time.sleep(0.5)
            send_foreign_check_in(system.deployment.sides[0], record)
        leaving.process.wait(10)
        time.sleep(0.5)
        leaving.start(bootstrap=False)
        record(f"{leaving.name} is started again")
        for user in users:
            user.join()
        for machine in system.deployment.machines():
            if not machine.is_running():
                raise RuntimeError(f"{machine.name} has ended")
        record(f"flows reset by the system: {len(results['by_system'])}, by their servers: "
               f"{len(results['by_server'])}, without an answer: {len(results['silent'])}; "
               f"all servers ran on: {all(s.threads[0].is_alive() for s in system.servers)}")
        return not results["by_system"]
    finally:
        system.stop()


case_run.main(os.path.dirname(os.path.abspath(__file__)), body)
