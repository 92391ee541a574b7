"""The two users' deployments at their current size, for the demo and chaos runs."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Location:
    """An availability zone with its region."""

    zone: str
    region: str


@dataclasses.dataclass(frozen=True)
class Service:
    """A service, and how many endpoint instances serve it."""

    name: str
    kind: str
    endpoint_count: int
    model: str = ""


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The zones, services and teams of one user.

    :param intents: the path of the user's intent file in this repository.
    :param entry_count: how many entry instances are started.
    """

    name: str
    locations: tuple[Location, ...]
    services: tuple[Service, ...]
    teams: tuple[str, ...]
    intents: str
    entry_count: int


BAUTIZOS = Deployment(
    name="bautizos",
    locations=(
        Location("heredia-a", "gran-area"),
        Location("liberia-a", "guanacaste"),
        Location("limon-a", "caribe"),
    ),
    services=(
        Service("redactor", "model", 7, "redactor"),
        Service("reservas", "plain", 3),
        Service("parroquias", "plain", 1),
    ),
    teams=("familias", "parroquias", "padrinos"),
    intents="examples/bautizos.yaml",
    entry_count=4,
)
ROSTERET = Deployment(
    name="rosteret",
    locations=(
        Location("brest-a", "finistere"),
        Location("vannes-a", "morbihan"),
        Location("rennes-a", "ille-vilaine"),
    ),
    services=(
        Service("toucan-pool", "model", 6, "toucan"),
        Service("shift-desk", "plain", 3),
        Service("nursery-office", "plain", 1),
    ),
    teams=("directions", "equipes", "parents"),
    intents="examples/rosteret.yaml",
    entry_count=4,
)
ALL_DEPLOYMENTS = (BAUTIZOS, ROSTERET)
