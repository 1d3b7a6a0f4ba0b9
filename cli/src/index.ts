export { runProgram } from "./program.js";
