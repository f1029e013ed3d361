"""Plays one seed of the soak from start to end."""

from tests.soak import schedule
from tests.soak import world as worlds


def _keep_logs(world, directory, problems):
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "problems").write_text("\n".join(problems))
    for vm in world.vms:
        (directory / f"vm{vm.index}.log").write_text(vm.log_text())


def play(
    seed,
    vms,
    events,
    length_s,
    host_prefix,
    log_directory=None,
    network=True,
    extras=(),
):
    """Plays one seed; returns the problems and the world.

    If there are problems, the logs of all VMs are kept in `log_directory`.
    """
    world = worlds.World(seed, vms, host_prefix, extras)
    try:
        world.start()
        if schedule.Extra.STALENESS in extras:
            world.begin_departures()
        world.play(schedule.draw(seed, events, length_s, network, extras))
        unsettled = world.settle()
        problems = world.problems()
        problems += [f"{name} does not serve again" for name in unsettled]
        for vm in world.vms:
            text = vm.log_text()
            if "internal_error" in text or "Traceback" in text:
                problems.append(f"vm{vm.index} logged an internal error")
        if problems and log_directory is not None:
            _keep_logs(world, log_directory / f"seed-{seed}", problems)
        return problems, world
    finally:
        world.close()
