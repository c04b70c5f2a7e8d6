// Groups items by a key, as `Map.groupBy` does in later versions of Node.js.

/** The items by key, each group in the order of the input. */
export function groupBy<Item, Key>(items: Iterable<Item>, keyOf: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
