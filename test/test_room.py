"""Room for calls at the targets of a service, in simulated time."""

import subprocess

import fleet as f
from test_platform import check


def test_what_targets_can_do_is_done_in_time_under_stress():
    """1.3 to 3 times the room before 3 to 300 routers, and a team of 12 times its usual before 85 and 300."""
    result = subprocess.run([f.program("test_liblimpetroad"), "--room-stress"],
                            capture_output=True, text=True, errors="replace")
    check(result.returncode == 0, result.stdout)
