"""A short run of the stateful test with a fixed seed."""

import hypothesis

from standins import system_machine

hypothesis.settings.register_profile(
    "ci",
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    database=None,
    derandomize=True,
    phases=[hypothesis.Phase.generate],  # failing runs are shrunk by make soak
    suppress_health_check=list(hypothesis.HealthCheck),
)

SystemTest = system_machine.SystemMachine.TestCase
SystemTest.settings = hypothesis.settings.get_profile("ci")
