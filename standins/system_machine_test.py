"""A short seeded part of the long randomised run."""

import hypothesis

from standins import system_machine

hypothesis.settings.register_profile(
    "ci",
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    database=None,
    derandomize=True,
    phases=[hypothesis.Phase.generate],  # make soak shrinks what fails
    suppress_health_check=list(hypothesis.HealthCheck),
)

SystemTest = system_machine.SystemMachine.TestCase
SystemTest.settings = hypothesis.settings.get_profile("ci")
