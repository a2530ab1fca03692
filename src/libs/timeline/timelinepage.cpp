#include "timeline/timelinepage.h"

namespace Lagoonbank::Timeline::Internal {

const std::string_view timelinePage = R"html(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>@TITLE@</title>
<style>
body { font: 14px system-ui, sans-serif; margin: 1.5em; color: #1d2733; background: #fff; }
h1 { font-size: 1.3em; margin: 0 0 .6em; }
form { display: flex; flex-wrap: wrap; gap: .8em; align-items: end; margin-bottom: .8em; }
label { display: flex; flex-direction: column; font-size: 12px; color: #55606e; }
input { font: inherit; padding: .25em .4em; width: 15em; }
button { font: inherit; padding: .25em .8em; }
svg { width: 100%; border: 1px solid #ccd3db; background: #fbfcfd; display: block; }
svg text { font-size: 12px; fill: #1d2733; }
.grid { stroke: #e3e8ee; } .lane { stroke: #b9c3cf; }
.mark { stroke: #fff; stroke-width: 1; cursor: pointer; }
.mark:hover, .mark.chosen { stroke: #000; stroke-width: 2; }
.keys { display: flex; flex-wrap: wrap; gap: .3em 1.1em; margin: .6em 0; font-size: 12px; }
.keys i { display: inline-block; width: .8em; height: .8em; border-radius: 50%; margin-right: .35em; }
table { border-collapse: collapse; width: 100%; font-size: 12.5px; }
th, td { text-align: left; padding: .2em .8em .2em 0; border-bottom: 1px solid #e8ecf1; vertical-align: top; }
td:first-child { font-family: ui-monospace, monospace; white-space: nowrap; }
tr.chosen { background: #fff3c9; }
#note { font-size: 12px; color: #55606e; }
</style>
</head>
<body>
<h1>@TITLE@</h1>
<form id="filters">
<label>since (UTC)<input name="since" placeholder="2026-12-02T17:48:31"></label>
<label>workspace<input name="workspace"></label>
<label>endpoint<input name="endpoint"></label>
<label>request<input name="request"></label>
<button type="reset">show all</button>
</form>
<svg id="lanes"></svg>
<div class="keys" id="keys"></div>
<p id="note"></p>
<table><thead><tr><th>time (UTC)</th><th>process</th><th>event</th><th>about</th></tr></thead>
<tbody id="rows"></tbody></table>
<script type="application/json" id="data">@EVENTS@</script>
<script>
"use strict";
const all = JSON.parse(document.getElementById("data").textContent);
const maxShown = 5000;
const groups = [["process", "#5b6b7d"], ["request", "#2b6cb0"], ["attempt", "#3a9d8f"],
  ["retry", "#d97706"], ["claim", "#8b5cf6"], ["endpoint", "#b45309"], ["connection", "#dc2626"],
  ["member", "#15803d"], ["data-centre", "#be123c"], ["configuration", "#4338ca"],
  ["log", "#a21caf"], ["snapshot", "#a21caf"], ["lease", "#0e7490"], ["order", "#7c2d12"],
  ["share", "#64748b"]];
const bad = /refused|lost|died|suspected|silent|rejected|uncertain/;
const byId = id => document.getElementById(id);
const groupOf = type => groups.find(g => type.startsWith(g[0])) || ["other", "#000"];

function svg(parent, name, attributes, text) {
  const element = document.createElementNS("http://www.w3.org/2000/svg", name);
  for (const key in attributes) element.setAttribute(key, attributes[key]);
  if (text !== undefined) element.textContent = text;
  parent.appendChild(element);
  return element;
}
function about(e) {
  const parts = [];
  if (e.subject) parts.push(e.subject);
  for (const key of ["request", "workspace", "endpoint"]) if (e[key]) parts.push(key + " " + e[key]);
  if (e.detail) parts.push(e.detail);
  return parts.join(" · ");
}
function shown() {
  const form = byId("filters");
  const since = form.since.value ? Date.parse(form.since.value.replace(/Z?$/, "Z")) : NaN;
  return all.filter(e => !(e.ms < since) && ["workspace", "endpoint", "request"].every(
    key => !form[key].value || (e[key] || "").includes(form[key].value)));
}
function clock(ms) { return new Date(ms).toISOString().slice(11, 23); }

function drawGrid(picture, x, first, last, height, left, right) {
  const count = Math.max(2, Math.min(8, Math.floor((right - left) / 130)));
  for (let i = 0; i <= count; ++i) {
    const ms = first + (last - first) * i / count;
    svg(picture, "line", { class: "grid", x1: x(ms), x2: x(ms), y1: 24, y2: height - 6 });
    svg(picture, "text", { x: x(ms), y: 16, "text-anchor": i === count ? "end" : i ? "middle" : "start" },
      clock(Math.round(ms)));
  }
}
function choose(index) {
  for (const e of document.querySelectorAll(".chosen")) e.classList.remove("chosen");
  for (const e of document.querySelectorAll('[data-index="' + index + '"]')) e.classList.add("chosen");
  const row = document.querySelector('tr[data-index="' + index + '"]');
  if (row) row.scrollIntoView({ block: "center" });
}
function drawLanes(events) {
  const picture = byId("lanes");
  picture.replaceChildren();
  const processes = [...new Set(events.map(e => e.process))].sort();
  const laneHeight = 34, top = 34;
  const width = Math.max(600, picture.clientWidth || 1200);
  const height = top + laneHeight * Math.max(1, processes.length) + 8;
  picture.setAttribute("viewBox", "0 0 " + width + " " + height);
  picture.style.height = height + "px";
  if (!events.length) return;
  const left = 24 + 7.2 * Math.max(...processes.map(p => p.length)), right = width - 20;
  const first = events[0].ms, last = Math.max(first + 1, events[events.length - 1].ms);
  const x = ms => left + (right - left) * (ms - first) / (last - first);
  drawGrid(picture, x, first, last, height, left, right);
  processes.forEach((name, i) => {
    const y = top + laneHeight * (i + 0.5);
    svg(picture, "line", { class: "lane", x1: left, x2: right, y1: y, y2: y });
    svg(picture, "text", { x: 8, y: y + 4 }, name);
  });
  const taken = new Map();
  events.forEach((e, i) => {
    const lane = processes.indexOf(e.process);
    const cell = lane + ":" + Math.round(x(e.ms) / 9);
    const stacked = taken.get(cell) || 0;
    taken.set(cell, stacked + 1);
    const lift = [0, -8, 8, -13, 13][stacked % 5];
    const mark = svg(picture, "circle", { class: "mark", "data-index": i, cx: x(e.ms),
      cy: top + laneHeight * (lane + 0.5) + lift, r: bad.test(e.type) ? 6.5 : 5,
      fill: groupOf(e.type)[1] });
    svg(mark, "title", {}, e.time + "\n" + e.process + "\n" + e.type + "\n" + about(e));
    mark.addEventListener("click", () => choose(i));
  });
}
function drawRows(events) {
  const rows = byId("rows");
  rows.replaceChildren();
  events.forEach((e, i) => {
    const row = rows.insertRow();
    row.dataset.index = i;
    for (const text of [e.time.replace("T", " "), e.process, e.type, about(e)])
      row.insertCell().textContent = text;
    row.addEventListener("click", () => choose(i));
  });
}
function drawKeys(events) {
  const keys = byId("keys");
  keys.replaceChildren();
  const used = new Set(events.map(e => groupOf(e.type)[0]));
  for (const [name, colour] of groups.filter(g => used.has(g[0]))) {
    const key = document.createElement("span");
    const dot = document.createElement("i");
    dot.style.background = colour;
    key.append(dot, name);
    keys.append(key);
  }
}
function draw() {
  const matching = shown();
  const events = matching.slice(-maxShown);
  drawLanes(events);
  drawKeys(events);
  drawRows(events);
  byId("note").textContent = events.length + " of " + all.length + " events"
    + (matching.length > events.length ? "; only the latest " + maxShown + " are shown" : "")
    + ". Larger marks are failures. Times are hybrid logical times: causes precede their effects.";
}
byId("filters").addEventListener("input", draw);
byId("filters").addEventListener("reset", () => setTimeout(draw));
byId("filters").addEventListener("submit", e => e.preventDefault());
window.addEventListener("resize", draw);
draw();
</script>
</body>
</html>
)html";

} // namespace Lagoonbank::Timeline::Internal
