"""Describe the deployments that the demo and the measurements start."""

from __future__ import annotations

from typing import NamedTuple

from .load import CallClass
from .rig import ProcessPlan, ServicePlan

KIB = 1024


class DeploymentDescription(NamedTuple):
    """Hold the processes and the call classes of one deployment."""

    plan: ProcessPlan
    classes: tuple[CallClass, ...]


YORGAN = DeploymentDescription(
    ProcessPlan(
        workspace="yorgan",
        region="ege",
        availability_zones=("ege-bir", "ege-iki", "ege-uc"),
        services=(
            ServicePlan(
                "dukkan-masa",
                10,
                connections=130,
                service_ms=(("/status", 2.0), ("/deposit", 5.0), ("/lookup", 1.0)),
            ),
            ServicePlan("torba-kayit", 3, connections=130, service_ms=(("/upload", 10.0),)),
        ),
        node_settings=(("gather_s", 0.02),),
    ),
    (
        CallClass("status", "yorgan.example", "/status", 50, True, answer_bytes=512),
        CallClass("deposit", "yorgan.example", "/deposit", 15, False, "POST", 256, 512),
        CallClass("upload", "yorgan.example", "/upload", 5, False, "POST", 0, 768 * KIB, 100.0),
        CallClass("lookup", "yorgan.example", "/lookup", 30, True, answer_bytes=128),
    ),
)

BAKONY = DeploymentDescription(
    ProcessPlan(
        workspace="bakony",
        region="pannon",
        availability_zones=("pannon-a", "pannon-b", "pannon-c"),
        services=(
            ServicePlan(
                "heat-board",
                7,
                connections=110,
                service_ms=(("/standings", 2.0), ("/entry", 5.0), ("/lookup", 1.0)),
            ),
            ServicePlan("judging-desk", 3, connections=110, service_ms=(("/upload", 10.0),)),
        ),
        node_settings=(("gather_s", 0.5),),
    ),
    (
        CallClass("standings", "bakony.example", "/standings", 50, True, answer_bytes=1024),
        CallClass("entry", "bakony.example", "/entry", 15, False, "POST", 256, 512),
        CallClass("upload", "bakony.example", "/upload", 5, False, "POST", 0, 768 * KIB, 100.0),
        CallClass("lookup", "bakony.example", "/lookup", 30, True, answer_bytes=128),
    ),
)

DEPLOYMENTS = {"yorgan": YORGAN, "bakony": BAKONY}
