"""Starts a deployment's stand-ins and system processes on the local machine.

Only the scripts of this repository use it: no process of the system starts another.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import deployments
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1


class LaunchError(Exception):
    """A process or the deployment did not become ready in time."""


def find_free_ports(count: int) -> list[int]:
    """Return distinct free TCP ports on the loopback address."""
    sockets = []
    for _ in range(count):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        sockets.append(listener)
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def call_api(address: str, method: str, path: str, body: object = None) -> object:
    """Call an HTTP API with JSON and return its decoded answer, None if empty."""
    payload = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", payload, method=method)
    with urllib.request.urlopen(request, timeout=10.0) as response:
        answer = response.read()
    return json.loads(answer) if answer else None


def wait_until_answering(address: str, path: str) -> None:
    """Wait until an HTTP server answers, with any status.

    :raises LaunchError: when it does not within ``START_TIMEOUT_S``.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            urllib.request.urlopen(f"http://{address}{path}", timeout=1.0).close()
            return
        except urllib.error.HTTPError:
            return
        except OSError:
            time.sleep(POLL_INTERVAL_S)
    raise LaunchError(f"{address}{path} did not answer in {START_TIMEOUT_S:.0f} s")


class ProcessGroup:
    """The processes that a script started, by name.

    :param directory: receives a log file for each process.
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.directory.mkdir(parents=True, exist_ok=True)
        self._running: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}

    def start(self, name: str, *arguments: str) -> None:
        """Start ``python -m ARGUMENTS`` under a name."""
        command = [sys.executable, "-m", *arguments]
        self._commands[name] = command
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with (self.directory / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def restart(self, name: str) -> None:
        """Start a process that has ended again, with the same arguments."""
        self.start(name, *self._commands[name][2:])

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has ended."""
        self.signal(name, signal.SIGKILL)
        self._running[name].wait()

    def get_pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._running[name].poll() is None

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait until a process has ended and return its exit code.

        :raises subprocess.TimeoutExpired: when it is still running after the timeout.
        """
        return self._running[name].wait(timeout_s)

    def stop_all(self) -> None:
        """Stop all processes with SIGTERM, and with SIGKILL after a timeout."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self._running.values():
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class Cluster:
    """A deployment with its stand-ins, started by :meth:`start`.

    :param directory: receives settings and logs.
    :param weights: the directory that the stand-in origin serves.
    :param origin_rate_bytes_s: rate limit of the stand-in origin.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        directory: pathlib.Path,
        weights: pathlib.Path,
        origin_rate_bytes_s: int,
    ):
        self.deployment = deployment
        self.directory = directory
        self.weights = weights
        self.origin_rate_bytes_s = origin_rate_bytes_s
        self.processes = ProcessGroup(directory / "logs")
        self.entry_addresses: dict[str, str] = {}
        self.endpoint_services: dict[str, deployments.Service] = {}
        self.backend_addresses: dict[str, str] = {}
        self.instances: list[dict] = []
        endpoint_count = sum(service.endpoint_count for service in deployment.services)
        ports = find_free_ports(3 + 2 * deployment.entry_count + 2 * endpoint_count)
        self._ports = iter(f"127.0.0.1:{port}" for port in ports)
        self.key_value_address = next(self._ports)
        self.instance_list_address = next(self._ports)
        self.origin_address = next(self._ports)

    def start(self) -> None:
        """Start the stand-ins, then the entries and endpoint processes.

        :raises LaunchError: when a process does not become ready in time, or an entry
            lacks the report of an endpoint process.
        """
        self._start_platform()
        self._add_entries()
        self._add_endpoints()
        self._start_backends()
        call_api(self.instance_list_address, "PUT", "/admin/instances", self.instances)
        for instance in self.instances:
            self.start_instance(instance["instance_id"])
        for address in self.entry_addresses.values():
            wait_until_answering(address, "/healthz")
            self._wait_for_reports(address)

    def _wait_for_reports(self, entry: str) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            instances = call_api(entry, "GET", "/v1/status")["instances"]
            reported_count = sum(instance["reported"] for instance in instances)
            if reported_count == len(self.endpoint_services):
                return
            time.sleep(POLL_INTERVAL_S)
        raise LaunchError(
            f"entry {entry} has reports of only {reported_count} endpoint processes"
        )

    def start_instance(self, instance_id: str) -> None:
        """Start the entry or endpoint process of an instance."""
        role = "entry" if instance_id in self.entry_addresses else "endpoint"
        self.processes.start(
            instance_id,
            "toucanspread",
            role,
            str(self.directory / f"{instance_id}.yaml"),
        )

    def stop(self) -> None:
        """Stop all processes of the deployment and its stand-ins."""
        self.processes.stop_all()

    def _start_platform(self) -> None:
        start = self.processes.start
        start(
            "key-value",
            "standins.key_value",
            "--port",
            get_port(self.key_value_address),
        )
        start(
            "instance-list",
            "standins.instance_list",
            "--port",
            get_port(self.instance_list_address),
        )
        start(
            "origin",
            "standins.origin",
            "--port",
            get_port(self.origin_address),
            "--directory",
            str(self.weights),
            "--rate-bytes-s",
            str(self.origin_rate_bytes_s),
        )
        wait_until_answering(self.key_value_address, "/v1/kv/none")
        wait_until_answering(self.instance_list_address, "/v1/instances")
        wait_until_answering(self.origin_address, "/stats")

    def _add_entries(self) -> None:
        locations = self.deployment.locations
        for number in range(self.deployment.entry_count):
            location = locations[number % len(locations)]
            instance_id = f"{location.zone}-entry-{number + 1}"
            http_address = next(self._ports)
            self.entry_addresses[instance_id] = http_address
            self._add_instance(
                instance_id, "entry", location, {"http_address": http_address}
            )

    def _add_endpoints(self) -> None:
        number = 0
        for service in self.deployment.services:
            for _ in range(service.endpoint_count):
                location = self.deployment.locations[
                    number % len(self.deployment.locations)
                ]
                number += 1
                instance_id = f"{location.zone}-endpoint-{number}"
                backend = next(self._ports)
                self.endpoint_services[instance_id] = service
                self.backend_addresses[instance_id] = backend
                if service.kind == "model":
                    extra = {
                        "engine_url": f"http://{backend}",
                        "origin_url": f"http://{self.origin_address}",
                    }
                else:
                    extra = {
                        "plain_service_url": f"http://{backend}",
                        "service": service.name,
                    }
                self._add_instance(instance_id, "endpoint", location, extra)

    def _add_instance(
        self,
        instance_id: str,
        role: str,
        location: deployments.Location,
        extra: dict[str, str],
    ) -> None:
        address = next(self._ports)
        config = {
            "instance_id": instance_id,
            "zone": location.zone,
            "region": location.region,
            "address": address,
            "key_value_url": f"http://{self.key_value_address}",
            "instance_list_url": f"http://{self.instance_list_address}",
            "origin_region": self.deployment.locations[0].region,
            **extra,
        }
        path = self.directory / f"{instance_id}.yaml"
        path.write_text(yaml.safe_dump(config, sort_keys=False))
        self.instances.append(
            {
                "instance_id": instance_id,
                "role": role,
                "zone": location.zone,
                "region": location.region,
                "address": address,
                "http_address": extra.get("http_address", ""),
            }
        )

    def _start_backends(self) -> None:
        for instance_id, service in self.endpoint_services.items():
            port = get_port(self.backend_addresses[instance_id])
            module = "standins.engine"
            if service.kind == "plain":
                module = "standins.plain_service"
            self.processes.start(
                f"{instance_id}-backend", module, "--port", port, "--admin"
            )
        for address in self.backend_addresses.values():
            wait_until_answering(address, "/stats")


def get_port(address: str) -> str:
    """Return the port of ``ip:port``."""
    return address.rpartition(":")[2]
