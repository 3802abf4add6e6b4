/** Entry VMs and backend servers in the platform's VM list. */
import { z } from "zod";

export const vmKindSchema = z.enum(["entry", "engine", "service"]);

/** What runs on a VM: the router itself (`entry`) or a backend server. */
export type VmKind = z.infer<typeof vmKindSchema>;

/** Codec of one row of the platform's VM list. */
export const vmSchema = z.object({
  vm: z.string().min(1).max(64),
  kind: vmKindSchema,
  /** Service of a backend server; "" for an entry VM. */
  service: z.string().max(64),
  place: z.string().min(1).max(64),
  /** Host and port for HTTP, such as 127.0.0.1:8080. */
  address: z.string().min(3).max(64),
  /** Host and port for peer connections; "" for a backend server. */
  peerAddress: z.string().max(64),
  status: z.enum(["live", "leaving"]),
});

/** One VM of the platform's list. */
export type Vm = Readonly<z.infer<typeof vmSchema>>;
