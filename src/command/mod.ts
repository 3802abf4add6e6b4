/** Commands of the program `goldcrestpost`. */
import { type Command } from "@oclif/core";
import { CompareCommand } from "./compare.ts";
import { ExplainRequestCommand } from "./explain.ts";
import { FleetShowCommand } from "./fleet/show.ts";
import { ReplayCommand } from "./replay.ts";
import { RolloutPauseCommand } from "./rollout/pause.ts";
import { RolloutStartCommand } from "./rollout/start.ts";
import { RolloutStatusCommand } from "./rollout/status.ts";
import { RolloutWithdrawCommand } from "./rollout/withdraw.ts";
import { BurnCommand } from "./report/burn.ts";
import { CheckCommand } from "./settings/check.ts";
import { DrainCommand } from "./settings/drain.ts";
import { ExplainCommand } from "./settings/explain.ts";
import { HistoryCommand } from "./settings/history.ts";
import { LoadCommand } from "./settings/load.ts";
import { SetCommand } from "./settings/set.ts";
import { ShowCommand } from "./settings/show.ts";
import { WaitCommand } from "./settings/wait.ts";
import { WithdrawCommand } from "./settings/withdraw.ts";

/** Commands by `topic:name`, or by name for those without a topic. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  "compare": CompareCommand,
  "explain": ExplainRequestCommand,
  "fleet:show": FleetShowCommand,
  "replay": ReplayCommand,
  "rollout:pause": RolloutPauseCommand,
  "rollout:start": RolloutStartCommand,
  "rollout:status": RolloutStatusCommand,
  "rollout:withdraw": RolloutWithdrawCommand,
  "report:burn": BurnCommand,
  "settings:check": CheckCommand,
  "settings:drain": DrainCommand,
  "settings:explain": ExplainCommand,
  "settings:history": HistoryCommand,
  "settings:load": LoadCommand,
  "settings:set": SetCommand,
  "settings:show": ShowCommand,
  "settings:wait": WaitCommand,
  "settings:withdraw": WithdrawCommand,
};
