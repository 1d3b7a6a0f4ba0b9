/** Replaces the workspace in names of claims on open routes. Names of workspaces cannot start with `_`. */
export const OPEN_WORKSPACE = "_open";
