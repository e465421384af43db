"""Expert maps: model of the work, planner and change protocol."""
