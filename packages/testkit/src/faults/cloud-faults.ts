// Faults of the cloud: outages, outdated machine lists, and machines that boot fast, late or never.
import { type FaultTable, statedDurationMs } from './fault-table';

/** A fault of the cloud. */
export type CloudFault =
  | { readonly kind: 'cloud outage'; readonly forMs: number }
  | { readonly kind: 'fast boots'; readonly forMs: number }
  /** Of the machines rented meanwhile, the share `never` does not boot; the others take `factor` times as long. */
  | { readonly kind: 'boot trouble'; readonly never: number; readonly factor: number; readonly forMs: number }
  /** The cloud lists its machines as they were `ms` earlier. */
  | { readonly kind: 'stale list'; readonly ms: number; readonly forMs: number };

/** Faults of the cloud by kind. */
export const CLOUD_FAULTS: FaultTable<CloudFault> = {
  'cloud outage': {
    inject: ({ cloud, sim }, { forMs }) => {
      cloud.outage = true;
      sim.after(forMs, () => {
        cloud.outage = false;
      });
    },
    durationMs: statedDurationMs,
  },
  'fast boots': {
    inject: ({ cloud, sim }, { forMs }) => {
      cloud.fastBoots = true;
      sim.after(forMs, () => {
        cloud.fastBoots = false;
      });
    },
    durationMs: statedDurationMs,
  },
  'boot trouble': {
    inject: ({ cloud, sim }, { never, factor, forMs }) => {
      cloud.bootFault = { never, factor };
      sim.after(forMs, () => {
        cloud.bootFault = null;
      });
    },
    durationMs: statedDurationMs,
  },
  'stale list': {
    inject: ({ cloud, sim }, { ms, forMs }) => {
      cloud.listAgeMs = ms;
      sim.after(forMs, () => {
        cloud.listAgeMs = 0;
      });
    },
    durationMs: ({ ms, forMs }) => forMs + ms,
  },
};
