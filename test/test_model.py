"""Checks the models of the claims (model/claims.pml) and of the eras of a log (model/eras.pml) with
spin.

Spin must find no error in a model, and one in each version with a deliberate fault.
"""

import os
import shutil
import subprocess
import tempfile

import fleet as f
from run_all import table


def count_errors(mutation, name="claims", defines=()):
    """Returns the number of errors that spin finds in the model with a fault
    (mutation; 0: no fault)."""
    directory = tempfile.mkdtemp(prefix="limpet-")
    try:
        model = os.path.join(f.ROOT, "model", name + ".pml")
        subprocess.run(["spin", "-a", "-DMUTATION=%d" % mutation, *defines, model], cwd=directory, check=True,
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


@table([("two_routers", []), ("three_routers", ["-DROUTERS=3", "-DRESTORATIONS=1", "-DRECORDS=1"])])
def test_the_model_of_the_eras_has_no_error(defines):
    assert count_errors(0, "eras", defines) == 0


@table([("counts_no_eras", 1), ("applies_responses_of_earlier_eras", 2),
        ("takes_a_read_of_an_earlier_era_for_one_of_the_next", 3)])
def test_spin_finds_a_deliberate_fault_in_eras(mutation):
    assert count_errors(mutation, "eras") > 0
