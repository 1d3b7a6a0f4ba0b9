import type { PlacementChoice } from "@pistachioreel/placement";
import type { ScheduleRefusal } from "@pistachioreel/scheduling";

/** Why a request got no target; `interrupted` if it must be re-evaluated, as another host may have to serve it. */
export type NoTarget = Extract<PlacementChoice, { refusal: string; }> | ScheduleRefusal | "interrupted";
