// The cloud's machine types as the leader last read them, without types and zones that this deployment can't use.
import type { CloudMachine, MachineType, MachineTypeList } from '@gingerlock/wire';
import type { Log } from '../controller/log';

/** Validates the cloud's lists of types and machines, and logs each invalid field once. */
export class MachineTypeCatalog {
  #current: ReadonlyMap<string, MachineType> = new Map();
  readonly #logged = new Set<string>();

  constructor(
    readonly zones: readonly string[],
    readonly log: Log,
  ) {}

  /** The types by name, with the prices that were read last; empty before the first read. */
  get current(): ReadonlyMap<string, MachineType> {
    return this.#current;
  }

  /**
   * Validates a list of types. Previous types that are no longer offered but still used stay in the catalog without a
   * price: no machines of these types are scaled out, and the existing machines keep working.
   */
  read(
    { types, invalid }: MachineTypeList,
    previous: Iterable<MachineType>,
    isUsed: (type: string) => boolean,
  ): MachineType[] {
    for (const { type, field, why } of invalid)
      this.#logOnce(`${type} ${field}`, { type, field, why }, 'invalid machine type');
    const offered = types.map((type) => this.#inKnownZones(type));
    const names = new Set(offered.map(({ name }) => name));
    const kept = [...previous].filter(({ name }) => !names.has(name) && isUsed(name));
    const all = [...offered, ...kept.map((type) => ({ ...type, price: 0, spotPrice: 0 }))];
    this.#current = new Map(all.map((type) => [type.name, type]));
    return all;
  }

  #inKnownZones(type: MachineType): MachineType {
    const unknown = type.zones.filter((zone) => !this.zones.includes(zone));
    if (unknown.length === 0) return type;
    this.#logOnce(`${type.name} zones`, { type: type.name, field: 'yards', unknown }, 'invalid machine type');
    return { ...type, zones: type.zones.filter((zone) => this.zones.includes(zone)) };
  }

  /** The listed machines whose type and zone belong to this deployment, and those for which `isKnown` holds. */
  acceptedMachines(listed: readonly CloudMachine[], isKnown: (machine: string) => boolean): CloudMachine[] {
    return listed.filter((machine) => {
      const field = this.#unknownField(machine);
      if (field === null || isKnown(machine.name)) return true;
      this.#logOnce(`machine ${machine.name}`, { field, machine: machine.name }, 'unknown machine in the cloud list');
      return false;
    });
  }

  /** The cloud's name of the field that holds an unknown type or zone; null: both are known. */
  #unknownField({ type, zone }: CloudMachine): 'breed' | 'yard' | null {
    if (this.#current.size > 0 && !this.#current.has(type)) return 'breed';
    return this.zones.includes(zone) ? null : 'yard';
  }

  #logOnce(key: string, fields: Record<string, unknown>, message: string): void {
    if (this.#logged.has(key)) return;
    this.#logged.add(key);
    this.log.error(fields, message);
  }
}
