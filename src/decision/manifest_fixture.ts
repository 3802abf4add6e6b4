/** Manifests, routes and backend servers for tests. */
import {
  type BackendServer,
  type Manifest,
  type ServiceRoute,
  type ServiceTraits,
  type WorkspaceAccess,
} from "../model/mod.ts";

/** Returns a streaming route with one service. */
export function routeOf(fields: Partial<ServiceRoute> = {}): ServiceRoute {
  return {
    name: "drafts",
    host: "api.example",
    routePrefix: "/drafts/",
    kind: "streaming",
    timeoutMs: 25_000,
    targetMs: 3000,
    maxAttempts: 3,
    priority: 1,
    isPublic: false,
    isResumable: true,
    gapTargetMs: 1500,
    models: [],
    services: [{ service: "drafting", weight: 1 }],
    permittedRegions: [],
    ...fields,
  };
}

/** Returns a workspace without keys. */
export function workspaceOf(
  name: string,
  fields: Partial<WorkspaceAccess> = {},
): WorkspaceAccess {
  return {
    name,
    keys: [],
    priority: undefined,
    permittedRegions: [],
    ...fields,
  };
}

/** Returns the traits of a service that runs no models and is never cold. */
export function serviceTraitsOf(
  name: string,
  fields: Partial<ServiceTraits> = {},
): ServiceTraits {
  return {
    name,
    healthPath: undefined,
    coldPerSecond: undefined,
    coldStartMs: 0,
    engine: undefined,
    ...fields,
  };
}

/** Returns a manifest with one route and one workspace. */
export function manifestOf(fields: Partial<Manifest> = {}): Manifest {
  return {
    version: 1,
    routes: [routeOf()],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    workspaces: [workspaceOf("assessors", { keys: ["a-key"], priority: 1 })],
    services: [],
    ...fields,
  };
}

/** Returns a backend server that is ready. */
export function serverOf(
  id: string,
  fields: Partial<BackendServer> = {},
): BackendServer {
  return {
    id,
    service: "drafting",
    address: "127.0.0.1:1",
    place: "khomas-a",
    version: "v1",
    slotCount: 64,
    status: "ready",
    processStartedAtMs: 1,
    coldLeftMs: 0,
    ...fields,
  };
}
