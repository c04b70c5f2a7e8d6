// Reads the sources of the packages with the compiler's parser, for tests that hold pages and sources against each other. Tests run from the
// root of the repository.
import { readdirSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join, sep } from 'node:path';
import type ts from 'typescript';

// Loaded at run time: the bundle of the tests need not contain a compiler.
const compiler = createRequire(join(process.cwd(), 'package.json'))('typescript') as typeof ts;

export interface Source {
  /** From the root, with slashes. */
  readonly path: string;
  readonly packageName: string;
  readonly tree: ts.SourceFile;
}

/** All modules below `src` of the packages; no names: of all packages. */
export function readSources(...packageNames: string[]): Source[] {
  const names = packageNames.length > 0 ? packageNames : readdirSync('packages');
  return names.flatMap((packageName) =>
    readdirSync(join('packages', packageName, 'src'), { recursive: true, encoding: 'utf8' })
      .filter((file) => file.endsWith('.ts'))
      .sort()
      .map((file) => parse(`packages/${packageName}/src/${file.split(sep).join('/')}`, packageName)),
  );
}

function parse(path: string, packageName: string): Source {
  const tree = compiler.createSourceFile(path, readFileSync(path, 'utf8'), compiler.ScriptTarget.ES2022, true);
  return { path, packageName, tree };
}

function* nodesOf(node: ts.Node): Generator<ts.Node> {
  yield node;
  const children: ts.Node[] = [];
  node.forEachChild((child) => {
    children.push(child);
  });
  for (const child of children) yield* nodesOf(child);
}

// --- log lines ---------------------------------------------------------------------------------------------------------

export type LogLevel = 'error' | 'info' | 'debug';

/** A message as the code writes it. */
export interface LogMessage {
  readonly level: LogLevel;
  /** The text; of a template what stands before its first substitution. */
  readonly text: string;
  readonly isTemplate: boolean;
  readonly where: string;
}

interface LogFunction {
  readonly level: LogLevel;
  readonly messageIndex: number;
}

/** Methods of the log. */
const LOG_METHODS: Readonly<Record<string, LogFunction>> = {
  error: { level: 'error', messageIndex: 1 },
  info: { level: 'info', messageIndex: 1 },
  debug: { level: 'debug', messageIndex: 1 },
};

/** Functions that are handed down to modules which do not know the log, and what they come to. */
const LOG_CALLBACKS: Readonly<Record<string, LogFunction>> = {
  log: { level: 'debug', messageIndex: 0 },
  alarm: { level: 'error', messageIndex: 0 },
  logOnce: { level: 'error', messageIndex: 2 },
};

/** The function of the log that a call is of; null: of none. */
function logFunctionOf({ expression }: ts.CallExpression): LogFunction | null {
  const name = compiler.isPropertyAccessExpression(expression) ? expression.name.text : expression.getText();
  const plainName = name.replace(/^#/, '');
  if (Object.hasOwn(LOG_CALLBACKS, plainName)) return LOG_CALLBACKS[plainName]!;
  const isOfLog =
    compiler.isPropertyAccessExpression(expression) && /(^|[.#])log$/i.test(expression.expression.getText());
  return isOfLog && Object.hasOwn(LOG_METHODS, plainName) ? LOG_METHODS[plainName]! : null;
}

/** The messages that an expression may come to. Throws on one that is neither written out nor a parameter `message`. */
function messagesOf(expression: ts.Expression, level: LogLevel, where: string): LogMessage[] {
  if (compiler.isStringLiteralLike(expression)) return [{ level, text: expression.text, isTemplate: false, where }];
  if (compiler.isTemplateExpression(expression))
    return [{ level, text: expression.head.text, isTemplate: true, where }];
  if (compiler.isConditionalExpression(expression))
    return [expression.whenTrue, expression.whenFalse].flatMap((branch) => messagesOf(branch, level, where));
  if (compiler.isIdentifier(expression) && expression.text === 'message') return [];
  throw new Error(`${where}: the message of a log line has to be written out: ${expression.getText()}`);
}

/** All messages that the modules log, also those that are kept as `{ detail, message }` until they may be logged. */
export function logMessagesOf(sources: readonly Source[]): LogMessage[] {
  const messages: LogMessage[] = [];
  for (const { path, tree } of sources) {
    for (const node of nodesOf(tree)) {
      const where = `${path}:${tree.getLineAndCharacterOfPosition(node.getStart()).line + 1}`;
      if (compiler.isCallExpression(node)) {
        const called = logFunctionOf(node);
        const message = called === null ? undefined : node.arguments[called.messageIndex];
        if (called !== null && message !== undefined) messages.push(...messagesOf(message, called.level, where));
      } else if (isKeptMessage(node)) {
        messages.push(...messagesOf(node.initializer, 'info', where));
      }
    }
  }
  return messages;
}

function isKeptMessage(node: ts.Node): node is ts.PropertyAssignment {
  if (!compiler.isPropertyAssignment(node) || node.name.getText() !== 'message') return false;
  return node.parent.properties.some((property) => property.name?.getText() === 'detail');
}

// --- names -------------------------------------------------------------------------------------------------------------

/** The field names in the schemas of messages: the keys of what is handed to `Type.Object`. */
export function schemaFieldsOf(sources: readonly Source[]): Set<string> {
  const fields = new Set<string>();
  for (const { tree } of sources) {
    for (const node of nodesOf(tree)) {
      if (!compiler.isCallExpression(node) || node.expression.getText() !== 'Type.Object') continue;
      const [shape] = node.arguments;
      if (shape === undefined || !compiler.isObjectLiteralExpression(shape)) continue;
      for (const { name } of shape.properties) if (name !== undefined) fields.add(textOfName(name));
    }
  }
  return fields;
}

function textOfName(name: ts.PropertyName): string {
  return compiler.isComputedPropertyName(name) ? name.getText() : name.text;
}

export interface NameUse {
  readonly name: string;
  /** It names a method that is called here, as in `queue.shift()`. */
  readonly isMethodCall: boolean;
  readonly packageName: string;
  readonly where: string;
}

/** Every identifier, and every property that is named by a string. Comments and other strings do not count. */
export function namesUsedIn(sources: readonly Source[]): NameUse[] {
  const uses: NameUse[] = [];
  for (const { path, packageName, tree } of sources) {
    for (const node of nodesOf(tree)) {
      const isName = compiler.isIdentifier(node) || compiler.isPrivateIdentifier(node);
      if (!isName && !isNamingString(node)) continue;
      const where = `${path}:${tree.getLineAndCharacterOfPosition(node.getStart()).line + 1}`;
      uses.push({ name: node.text.replace(/^#/, ''), isMethodCall: isCalledMethod(node), packageName, where });
    }
  }
  return uses;
}

function isCalledMethod(node: ts.Node): boolean {
  const access = node.parent;
  if (!compiler.isPropertyAccessExpression(access) || access.name !== node) return false;
  return compiler.isCallExpression(access.parent) && access.parent.expression === access;
}

function isNamingString(node: ts.Node): node is ts.StringLiteral {
  if (!compiler.isStringLiteral(node)) return false;
  const { parent } = node;
  if (compiler.isElementAccessExpression(parent)) return parent.argumentExpression === node;
  if (compiler.isComputedPropertyName(parent)) return true;
  return (compiler.isPropertyAssignment(parent) || compiler.isPropertySignature(parent)) && parent.name === node;
}
