import * as echarts from 'echarts';
import { LENGTHS, type SecondOfLoad } from './accountLoad.ts';

const WIDTH_PX = 1200;
const PANEL_HEIGHT_PX = 260;

const PANELS: readonly {
  readonly title: string;
  readonly valueOf: (row: SecondOfLoad) => number;
}[] = [
  { title: 'requests', valueOf: ({ requests }) => requests },
  {
    title: 'not answered',
    valueOf: ({ unanswered }) =>
      Object.values(unanswered).reduce((sum, count) => sum + count, 0),
  },
  { title: 'sends refused by targets', valueOf: (row) => row.refusedSends },
  { title: 'p95 to first event (ms)', valueOf: ({ p95Ms }) => p95Ms },
];

/**
 * Plots an account of load, with one panel for each quantity.
 *
 * @param rows - The account.
 * @returns An SVG document.
 */
export function plotLoad(rows: readonly SecondOfLoad[]): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height: PANELS.length * PANEL_HEIGHT_PX + 60,
  });
  chart.setOption({
    animation: false,
    legend: { data: [...LENGTHS] },
    title: PANELS.map(({ title }, n) => ({
      text: title,
      top: 40 + n * PANEL_HEIGHT_PX,
      textStyle: { fontSize: 13 },
    })),
    grid: PANELS.map((_, n) => ({
      top: 70 + n * PANEL_HEIGHT_PX,
      height: PANEL_HEIGHT_PX - 100,
      left: 60,
      right: 20,
    })),
    xAxis: PANELS.map((_, n) => ({ type: 'value', gridIndex: n })),
    yAxis: PANELS.map((_, n) => ({ type: 'value', gridIndex: n })),
    series: PANELS.flatMap(({ valueOf }, n) =>
      LENGTHS.map((length) => ({
        type: 'line',
        name: length,
        showSymbol: false,
        xAxisIndex: n,
        yAxisIndex: n,
        data: rows
          .filter((row) => row.length === length)
          .map((row) => [row.second, valueOf(row)]),
      })),
    ),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
