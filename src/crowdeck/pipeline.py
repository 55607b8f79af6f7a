# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Pipelines: the stages that a request passes, and their layers."""

import attrs


@attrs.frozen
class LayerRange:
    """Layers ``first`` to ``end - 1`` of a model."""

    first: int
    end: int

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.first < self.end:
            raise ValueError(
                f"layer range {self.first}..{self.end} must have "
                "0 <= first < end"
            )


@attrs.frozen
class Offer:
    """What one upstream engine serves.

    :ivar layers: the layers it holds.
    :ivar layer_count: how many layers the whole model has.
    :ivar accelerator: type of accelerator, for display.
    :ivar batch_limit: sequences that fit into one batch.
    """

    model: str
    version: str
    adapter: str
    layers: LayerRange
    layer_count: int
    accelerator: str = ""
    batch_limit: int = 64

    @property
    def is_head(self) -> bool:
        """Whether a pipeline may begin here."""
        return self.layers.first == 0

    @property
    def is_tail(self) -> bool:
        """Whether a pipeline may end here."""
        return self.layers.end == self.layer_count


@attrs.frozen
class StageRef:
    """One stage of a path, bound to one run of its sidecar."""

    instance: str
    incarnation: int
    first_layer: int
    end_layer: int


@attrs.frozen
class Path:
    """The stages that a request passes, first layer to last.

    :raises ValueError: when the stages do not cover every layer exactly
        once, in order.
    """

    model: str
    version: str
    adapter: str
    layer_count: int
    stages: tuple[StageRef, ...]

    def __attrs_post_init__(self) -> None:
        layer = 0
        for stage in self.stages:
            if stage.first_layer != layer or stage.end_layer <= layer:
                raise ValueError(
                    f"stage {stage.instance} begins at layer "
                    f"{stage.first_layer}; expected a stage of at least one "
                    f"layer that begins at layer {layer}"
                )
            layer = stage.end_layer
        if layer != self.layer_count:
            raise ValueError(
                f"the path ends at layer {layer} of {self.layer_count}"
            )

    @property
    def head(self) -> StageRef:
        """The first stage, which also keeps the answer."""
        return self.stages[0]

    @property
    def tail(self) -> StageRef:
        """The last stage, which outputs tokens."""
        return self.stages[-1]

    def index_of(self, instance: str, incarnation: int) -> int:
        """Return the index of a stage in this path.

        :raises LookupError: when that run of the instance is not in it.
        """
        for index, stage in enumerate(self.stages):
            if (stage.instance, stage.incarnation) == (instance, incarnation):
                return index
        raise LookupError(
            f"incarnation {incarnation} of {instance} is not in this path"
        )
