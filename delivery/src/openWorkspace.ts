/** Stands for the workspace of open routes in names of claims; names of workspaces cannot start with `_`. */
export const OPEN_WORKSPACE = "_open";
