/** Tests of routes by prefix, workspaces by key and services by weight. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { manifestOf, routeOf } from "./manifest_fixture.ts";
import { chooseService, RouteTable } from "./route_table.ts";

const table = new RouteTable(manifestOf({
  routes: [
    routeOf({ name: "outer", routePrefix: "/a/" }),
    routeOf({ name: "inner", routePrefix: "/a/b/" }),
    routeOf({ name: "other", host: "other.example", routePrefix: "/" }),
  ],
}));

test("the route with the longest matching prefix is found", () => {
  assert.equal(table.find("api.example", "/a/x")?.name, "outer");
  assert.equal(table.find("api.example", "/a/b/c/d")?.name, "inner");
  assert.equal(table.find("other.example", "/a/b/")?.name, "other");
});

test("a prefix matches whole segments, and only on its own host", () => {
  assert.equal(table.find("api.example", "/a"), undefined);
  assert.equal(table.find("api.example", "/ab/"), undefined);
  assert.equal(table.find("third.example", "/a/"), undefined);
});

test("a key belongs to its workspace only", () => {
  assert.equal(table.workspaceOf("a-key")?.name, "assessors");
  assert.equal(table.workspaceOf("a-ke"), undefined);
});

test("requests are split by weight, and a key keeps its service", () => {
  const route = routeOf({
    services: [{ service: "first", weight: 90 }, {
      service: "second",
      weight: 10,
    }],
  });
  let secondCount = 0;
  for (let index = 0; index < 2000; index++) {
    const service = chooseService(route, `request-${index}`);
    assert.equal(service, chooseService(route, `request-${index}`));
    if (service === "second") secondCount += 1;
  }
  assert.ok(secondCount > 120 && secondCount < 280, `${secondCount}`);
});

test("a service with zero weight gets no requests", () => {
  const route = routeOf({
    services: [{ service: "first", weight: 0 }, {
      service: "second",
      weight: 5,
    }],
  });
  assert.equal(chooseService(route, "any"), "second");
});
