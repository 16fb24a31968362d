"""Checks the model of the claims (model/claims.pml) with spin.

Spin must find no error in the model, and one in each version with a deliberate fault.
"""

import os
import shutil
import subprocess
import tempfile

import fleet as f
from run_all import table


def count_errors(mutation):
    """Returns the number of errors that spin finds in the model with a fault
    (mutation; 0: no fault)."""
    directory = tempfile.mkdtemp(prefix="limpet-")
    try:
        model = os.path.join(f.ROOT, "model", "claims.pml")
        subprocess.run(["spin", "-a", "-DMUTATION=%d" % mutation, model], cwd=directory, check=True,
                       capture_output=True)
        subprocess.run(["gcc", "-O2", "-DSAFETY", "-DMEMLIM=4096", "-o", "pan", "pan.c"],
                       cwd=directory, check=True, capture_output=True)
        out = subprocess.run(["./pan", "-m100000"], cwd=directory, capture_output=True,
                             text=True).stdout
        assert "Search not completed" not in out or mutation, out
        return int(out.split("errors: ")[1].split()[0])
    finally:
        shutil.rmtree(directory)


def test_the_model_has_no_error():
    assert count_errors(0) == 0


@table([("acts_without_reading_back", 1), ("runs_on_another_attempts_claim", 2),
        ("runs_after_abandonment", 3)])
def test_spin_finds_a_deliberate_fault(mutation):
    assert count_errors(mutation) > 0
