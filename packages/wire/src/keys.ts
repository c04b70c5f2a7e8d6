// The keys of everything that gingerlock stores in the key-value store.

/** Every key begins with this, so that one request follows all changes. */
export const PREFIX = 'g/';

/** Builds the keys; `parseKey` reads them. */
export const KEYS = {
  meta: 'g/meta',
  term: 'g/term',
  types: 'g/types',
  owner: (resource: string) => `g/own/${resource}`,
  hold: (resource: string) => `g/hold/${resource}`,
  /**
   * Holds a term record: the owner of that term knows that the `failoverAt` of its owner record bounds its failover.
   */
  confirmedTerm: (resource: string) => `g/timed/${resource}`,
  job: (id: string) => `g/j/${id}`,
  finished: (id: string, partitionId: number, page: number) => `g/f/${id}/${partitionId}/${page}`,
  /** A page of finished tasks that begins at task `first`; see `finishedPageFor`. */
  finishedFrom: (id: string, partitionId: number, first: number) => `g/o/${id}/${partitionId}/${first}`,
  membership: (partitionId: number, machine: string) => `g/r/${partitionId}/${machine}`,
  reclaim: (partitionId: number, id: string) => `g/b/${partitionId}/${id}`,
  /** The record of a job's replica group. */
  group: (job: string) => `g/g/${job}`,
} as const;

/** The resource whose owner is the leader; the resource of a partition is its number. */
export const LEADERSHIP = 'lead';

/** The parts of a key; `other`: it is none that this version knows. */
export type ParsedKey =
  | { readonly kind: 'meta' | 'term' | 'types' | 'other' }
  | { readonly kind: 'owner' | 'hold' | 'confirmedTerm'; readonly resource: string }
  | { readonly kind: 'job'; readonly id: string }
  | { readonly kind: 'finished'; readonly id: string; readonly partitionId: number; readonly page: number }
  | { readonly kind: 'finishedFrom'; readonly id: string; readonly partitionId: number; readonly first: number }
  | { readonly kind: 'membership'; readonly partitionId: number; readonly machine: string }
  | { readonly kind: 'reclaim'; readonly partitionId: number; readonly id: string }
  | { readonly kind: 'group'; readonly job: string };

/** Parses a key. Never throws: keys of later versions are `other`. */
export function parseKey(key: string): ParsedKey {
  const words = key.split('/');
  switch (words[1]) {
    case 'meta':
    case 'term':
    case 'types':
      return { kind: words[1] };
    case 'own':
      return { kind: 'owner', resource: words[2] ?? '' };
    case 'hold':
      return { kind: 'hold', resource: words[2] ?? '' };
    case 'timed':
      return { kind: 'confirmedTerm', resource: words[2] ?? '' };
    case 'j':
      return { kind: 'job', id: words[2] ?? '' };
    case 'f':
      return { kind: 'finished', id: words[2] ?? '', partitionId: Number(words[3]), page: Number(words[4]) };
    case 'o':
      return { kind: 'finishedFrom', id: words[2] ?? '', partitionId: Number(words[3]), first: Number(words[4]) };
    case 'r':
      return { kind: 'membership', partitionId: Number(words[2]), machine: words.slice(3).join('/') };
    case 'b':
      return { kind: 'reclaim', partitionId: Number(words[2]), id: words.slice(3).join('/') };
    case 'g':
      return { kind: 'group', job: words[2] ?? '' };
    default:
      return { kind: 'other' };
  }
}
