"""A check-in of another writer names a service that the installation does not have yet. Soon after
it the operator adds that service, with a server and a route of its own."""

import http.client
import json
import os
import time

import case_run
import deployment
import flows

LOGBOOK_PORT, INSPECT_PORT, ARCHIVE_PORT = 8080, 8443, 9443
ROUTES = [(case_run.HOST, LOGBOOK_PORT, "logbook", "idempotent", 2500),
          (case_run.HOST, INSPECT_PORT, "inspect", "upload", 5000)]
ADDED = (case_run.HOST, ARCHIVE_PORT, "archive", "non_idempotent", 3000)
DEADLINE_S = 3.0
# Longer than connectivity_window_ms, so that all machines are in touch.
CALM_S = 6.0
WATCHED_S = 8.0


def send_foreign_check_in(side, record):
    """All that the page asks of a check-in, but for the name of the service."""
    body = {"service": "archive", "address": f"{side.address}:{side.at(deployment.APP)[1]}",
            "zone": side.fields["zone"], "version": "v1", "capacity": 7, "state": "ready",
            "warmup_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000)}
    connection = http.client.HTTPConnection(*side.at(deployment.CONTROL), timeout=1.0)
    connection.request("PUT", "/-/instances/i-00c0ffee", json.dumps(body),
                       {"Content-Type": "application/json"})
    response = connection.getresponse()
    record(f"another writer's check-in at {side.name}: {json.dumps(body)}: {response.status}")
    connection.close()


def body(record):
    services = ("logbook", "logbook", "logbook", "inspect", "archive")
    system = case_run.System(record, services)
    try:
        system.deployment.start()
        system.start_servers()
        if not system.send(7, ROUTES, 20):
            raise RuntimeError("the desired state was not acknowledged")
        system.start_clients()
        time.sleep(CALM_S)
        if case_run.has_trouble():
            send_foreign_check_in(system.deployment.sides[0], record)
        time.sleep(0.5)
        if not system.send(9, ROUTES + [ADDED], 5):
            raise RuntimeError("the added service was not acknowledged")
        sent = {}
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            client = system.clients[len(sent) % len(system.clients)]
            flow = flows.Flow(client, case_run.HOST, ARCHIVE_PORT)
            if flow.open():
                name = f"archive-{len(sent)}"
                sent[name] = flow.request(DEADLINE_S, name)
                record(f"request {name} on {flow.name}: answered by {sent[name]}")
                flow.close()
            else:
                record(f"{flow.name} did not open")
            time.sleep(0.1)
        for machine in system.deployment.machines():
            if not machine.is_running():
                raise RuntimeError(f"{machine.name} has ended")
        wrong = 0
        for server in system.servers:
            ran = [name for _, name, _ in server.ran if name in sent]
            record(f"server {server.identity} of {server.service} on {server.side.name} ran "
                   f"{len(ran)} requests that were sent to the route of archive: {ran}")
            wrong += len(ran) if server.service != "archive" else 0
        if not any(sent.values()):
            raise RuntimeError("no request to the added route was answered")
        record(f"run by another service: {wrong} of {len(sent)}")
        return wrong == 0
    finally:
        system.stop()


case_run.main(os.path.dirname(os.path.abspath(__file__)), body)
