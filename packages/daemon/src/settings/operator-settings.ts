// The operators' settings: the schema of their file, in which every key is optional, and the defaults.
import { Type } from '@sinclair/typebox';
import { checkSettings } from './settings-error';

const OperatorsFile = Type.Object(
  {
    headroom: Type.Optional(Type.Number({ minimum: 0, maximum: 1 })),
    max_ordinary_machines: Type.Optional(Type.Integer({ minimum: 0 })),
    max_spot_machines: Type.Optional(Type.Integer({ minimum: 0 })),
  },
  { additionalProperties: false },
);

/** The operators' settings for the size of the fleet. */
export interface OperatorSettings {
  /** Free capacity to keep on ordinary machines, as a share of the used capacity. */
  readonly headroom: number;
  /** Largest number of ordinary machines rented at a time. */
  readonly maxOrdinaryMachines: number;
  /** Largest number of spot machines rented at a time. */
  readonly maxSpotMachines: number;
}

/** Defaults of the keys that the file leaves out. */
export const OPERATOR_DEFAULTS: OperatorSettings = {
  headroom: 0.1,
  maxOrdinaryMachines: Infinity,
  maxSpotMachines: Infinity,
};

/**
 * Checks the operators' settings and fills in the defaults. Null and undefined mean an empty file.
 * @throws SettingsError naming the first invalid key
 */
export function operatorSettingsOf(value: unknown): OperatorSettings {
  const file = checkSettings(OperatorsFile, value ?? {}, "operators' settings");
  return {
    headroom: file.headroom ?? OPERATOR_DEFAULTS.headroom,
    maxOrdinaryMachines: file.max_ordinary_machines ?? OPERATOR_DEFAULTS.maxOrdinaryMachines,
    maxSpotMachines: file.max_spot_machines ?? OPERATOR_DEFAULTS.maxSpotMachines,
  };
}
