/**
 * Replicas whose announcements say that they can receive requests.
 *
 * @module
 */
import type { CatalogHolder } from "../catalog/catalog_holder.ts";
import type { HostRegistry } from "./host_registry.ts";
import type { Replica, ReplicaGroupView } from "./replica.ts";

/**
 * Derives replicas from announcements and from the zones taken out of service.
 */
export class ReplicaView {
  readonly #hosts: HostRegistry;
  readonly #catalog: CatalogHolder;
  /** Availability zones that operators have taken out of service. */
  readonly #zonesOutOfService: ReadonlySet<string>;
  /** Derived replicas, by service and model. */
  #replicas = new Map<string, readonly Replica[]>();

  constructor(
    hosts: HostRegistry,
    catalog: CatalogHolder,
    zonesOutOfService: ReadonlySet<string>,
  ) {
    this.#hosts = hosts;
    this.#catalog = catalog;
    this.#zonesOutOfService = zonesOutOfService;
    hosts.onChange(() => this.invalidate());
  }

  /** Drops the cached replicas, which are then derived again. */
  invalidate(): void {
    this.#replicas = new Map();
  }

  /**
   * Replicas that can receive requests according to their announcements,
   * including suspected ones.
   */
  announced(service: string, model: string | undefined): readonly Replica[] {
    const cacheKey = `${service}|${model ?? ""}`;
    let replicas = this.#replicas.get(cacheKey);
    if (replicas === undefined) {
      replicas = this.#derive(service, model);
      this.#replicas.set(cacheKey, replicas);
    }
    return replicas;
  }

  /** Whether a replica can receive requests, as it was when it was chosen. */
  isAnnounced({ key, service, model, host }: Replica): boolean {
    const replicas = this.announced(service, model);
    return replicas.some((replica) =>
      replica.key === key && replica.host.id === host.id &&
      replica.host.born === host.born
    );
  }

  #derive(service: string, model: string | undefined): readonly Replica[] {
    const engine = this.#catalog.inForce?.services.get(service)?.engine;
    if (engine === undefined) return this.#plainHosts(service);
    const size = engine.models.find((spec) => spec.name === model)?.size;
    const replicas: Replica[] = [];
    for (const group of this.#hosts.groups.values()) {
      if (group.service !== service || group.model !== model) continue;
      const replica = this.#toReplica(group, size);
      if (replica !== undefined) replicas.push(replica);
    }
    return replicas;
  }

  #plainHosts(service: string): readonly Replica[] {
    return this.#hosts.ofService(service)
      .filter((host) =>
        !host.draining && !this.#zonesOutOfService.has(host.zone)
      )
      .map((host) => ({
        key: host.id,
        service,
        model: undefined,
        host,
        members: [host.id],
        isCrossDomain: false,
        hasUnlistedMember: false,
      }));
  }

  /**
   * Returns the group as a replica if it is open, no member is missing or in a
   * zone out of service, and its head is not draining. Other members that are
   * draining serve until they are replaced, and so may unlisted ones.
   */
  #toReplica(
    group: ReplicaGroupView,
    size: number | undefined,
  ): Replica | undefined {
    const { head, members } = group;
    if (head === undefined || group.state !== "open") return undefined;
    if (members.length !== size) return undefined;
    if (head.draining) return undefined;
    if (members.some((host) => this.#zonesOutOfService.has(host.zone))) {
      return undefined;
    }
    return {
      key: group.key,
      service: group.service,
      model: group.model,
      host: head,
      members: members.map((host) => host.id),
      isCrossDomain: members.some((host) => host.domain !== head.domain),
      hasUnlistedMember: group.unlisted.length > 0,
    };
  }
}
