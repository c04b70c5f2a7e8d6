// Addresses of machines, checked and in one canonical form.
import ipaddr from 'ipaddr.js';

/**
 * The IP address of `HOST:PORT` in canonical form: IPv4 addresses that are mapped into IPv6 as IPv4, IPv6 addresses in
 * lower case and as short as possible. Null: the host is no IP address, or there is no port.
 */
export function hostOf(address: string): string | null {
  const colon = address.lastIndexOf(':');
  if (colon < 0 || !/^\d{1,5}$/.test(address.slice(colon + 1))) return null;
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  // Programs disagree on short and octal forms of IPv4.
  const isUnambiguous = ipaddr.IPv4.isValidFourPartDecimal(host) || ipaddr.IPv6.isValid(host);
  return isUnambiguous ? ipaddr.process(host).toString() : null;
}
