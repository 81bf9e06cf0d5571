import { lengthClassSchema } from '@endivegate/contracts';
import * as echarts from 'echarts';
import type { BenchRow } from '../benchRow.ts';

const WIDTH_PX = 1_200;
const PANEL_HEIGHT_PX = 320;

/**
 * Plots the p95 time to first token by length class, with one panel for each
 * mix and load.
 *
 * @param rows - Rows of the benchmark.
 * @returns An SVG document.
 */
export function plotResults(rows: readonly BenchRow[]): string {
  const panels = [
    ...new Set(rows.map(({ mix, loadPercent }) => `${mix} ${loadPercent}%`)),
  ];
  const policies = [...new Set(rows.map(({ policy }) => policy))];
  const heightPx = panels.length * PANEL_HEIGHT_PX + 60;
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height: heightPx,
  });
  chart.setOption({
    animation: false,
    legend: { data: policies },
    title: panels.map((text, n) => ({
      text: `p95 first token (s), ${text}`,
      top: 40 + n * PANEL_HEIGHT_PX,
      textStyle: { fontSize: 13 },
    })),
    grid: panels.map((_, n) => ({
      top: 80 + n * PANEL_HEIGHT_PX,
      height: PANEL_HEIGHT_PX - 90,
      left: 60,
      right: 20,
    })),
    xAxis: panels.map((_, n) => ({
      type: 'category',
      gridIndex: n,
      data: lengthClassSchema.options,
    })),
    yAxis: panels.map((_, n) => ({ type: 'log', gridIndex: n })),
    series: panels.flatMap((panel, n) =>
      policies.map((policy) => ({
        type: 'bar',
        name: policy,
        xAxisIndex: n,
        yAxisIndex: n,
        data: secondsOf(rows, panel, policy),
      })),
    ),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function secondsOf(
  rows: readonly BenchRow[],
  panel: string,
  policy: string,
): readonly (number | null)[] {
  const row = rows.find(
    (one) =>
      `${one.mix} ${one.loadPercent}%` === panel && one.policy === policy,
  );
  return lengthClassSchema.options.map((name) => {
    const p95Ms = row?.measures.byClass[name].p95Ms;
    return p95Ms === undefined ? null : p95Ms / 1_000;
  });
}
