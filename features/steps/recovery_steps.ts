/**
 * Steps of recovery.feature.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { hash32 } from "../../src/base/hash.ts";

interface RecoveryWorld {
  hash: number;
}

When("{string} is hashed", function (this: RecoveryWorld, text: string) {
  this.hash = hash32(text);
});

Then("the hash is {word}", function (this: RecoveryWorld, hash: string) {
  assert.equal(this.hash.toString(16).padStart(8, "0"), hash);
});
