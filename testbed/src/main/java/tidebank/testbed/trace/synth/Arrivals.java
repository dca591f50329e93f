package tidebank.testbed.trace.synth;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Arrivals by second as a Poisson process whose rate is that of a hidden state (Markov-modulated),
 * fitted to counts by expectation and maximisation. How many states there are is chosen by Bayes'
 * criterion.
 *
 * @param rates arrivals a second in each state
 * @param moves chance to go from one state to another from second to second
 */
public record Arrivals(double[] rates, double[][] moves) {
  private static final int STATES_MOST = 4;
  private static final int ROUNDS = 200;
  private static final double SETTLED = 1e-6;
  private static final double RATE_LEAST = 1e-3;

  /** Fits to counts by second. */
  public static Arrivals fit(int[] counts) {
    Arrivals best = null;
    double least = Double.POSITIVE_INFINITY;
    for (int states = 1;
        states <= STATES_MOST && states * states < Math.max(2, counts.length);
        states++) {
      double[] likelihood = new double[1];
      Arrivals fitted = fit(counts, states, likelihood);
      double criterion =
          -2 * likelihood[0] + states * states * Math.log(Math.max(2, counts.length));
      if (Double.isFinite(criterion) && criterion < least) {
        least = criterion;
        best = fitted;
      }
    }
    return best;
  }

  private static Arrivals fit(int[] counts, int states, double[] likelihood) {
    int n = counts.length;
    int[] sorted = counts.clone();
    Arrays.sort(sorted);
    double[] rates = new double[states];
    double[][] moves = new double[states][states];
    double[] first = new double[states];
    for (int s = 0; s < states; s++) {
      // Begun at the counts' own quantiles, a little apart where these are alike.
      rates[s] =
          Math.max(RATE_LEAST, sorted[(int) ((s + 0.5) / states * n)] * (1 + 0.05 * s) + 0.01 * s);
      first[s] = 1.0 / states;
      for (int t = 0; t < states; t++) {
        moves[s][t] = states == 1 ? 1 : s == t ? 0.9 : 0.1 / (states - 1);
      }
    }
    double before = Double.NEGATIVE_INFINITY;
    double[][] alpha = new double[n][states];
    double[][] beta = new double[n][states];
    double[] scale = new double[n];
    double[][] chance = new double[n][states];
    for (int round = 0; round < ROUNDS; round++) {
      double sum = 0;
      for (int i = 0; i < n; i++) {
        double top = Double.NEGATIVE_INFINITY;
        for (int s = 0; s < states; s++) {
          chance[i][s] = counts[i] * Math.log(rates[s]) - rates[s];
          top = Math.max(top, chance[i][s]);
        }
        for (int s = 0; s < states; s++) {
          chance[i][s] = Math.exp(chance[i][s] - top);
        }
        sum += top - logFactorial(counts[i]);
        scale[i] = 0;
        for (int s = 0; s < states; s++) {
          double in = 0;
          if (i == 0) {
            in = first[s];
          } else {
            for (int from = 0; from < states; from++) {
              in += alpha[i - 1][from] * moves[from][s];
            }
          }
          alpha[i][s] = in * chance[i][s];
          scale[i] += alpha[i][s];
        }
        for (int s = 0; s < states; s++) {
          alpha[i][s] /= scale[i];
        }
        sum += Math.log(scale[i]);
      }
      for (int i = n - 1; i >= 0; i--) {
        for (int s = 0; s < states; s++) {
          double out = i == n - 1 ? 1 : 0;
          for (int to = 0; i < n - 1 && to < states; to++) {
            out += moves[s][to] * chance[i + 1][to] * beta[i + 1][to] / scale[i + 1];
          }
          beta[i][s] = out;
        }
      }
      double[] weight = new double[states];
      double[] arrivals = new double[states];
      double[][] went = new double[states][states];
      for (int i = 0; i < n; i++) {
        for (int s = 0; s < states; s++) {
          double here = alpha[i][s] * beta[i][s];
          weight[s] += here;
          arrivals[s] += here * counts[i];
          for (int to = 0; i < n - 1 && to < states; to++) {
            went[s][to] +=
                alpha[i][s] * moves[s][to] * chance[i + 1][to] * beta[i + 1][to] / scale[i + 1];
          }
        }
      }
      for (int s = 0; s < states; s++) {
        rates[s] = Math.max(RATE_LEAST, arrivals[s] / Math.max(1e-12, weight[s]));
        first[s] = alpha[0][s] * beta[0][s];
        double all = Arrays.stream(went[s]).sum();
        for (int to = 0; to < states && all > 0; to++) {
          moves[s][to] = went[s][to] / all;
        }
      }
      likelihood[0] = sum;
      if (sum - before < SETTLED * Math.abs(sum)) {
        break;
      }
      before = sum;
    }
    return new Arrivals(rates, moves);
  }

  private static double logFactorial(int n) {
    double sum = 0;
    for (int i = 2; i <= n && i < 64; i++) {
      sum += Math.log(i);
    }
    return n < 64 ? sum : n * Math.log(n) - n + 0.5 * Math.log(2 * Math.PI * n);
  }

  /** Counts by second, drawn. */
  public int[] draw(int seconds, SplittableRandom chance) {
    int[] counts = new int[seconds];
    int state = 0;
    double[] share = settled();
    state = pick(share, chance.nextDouble());
    for (int i = 0; i < seconds; i++) {
      counts[i] = poisson(rates[state], chance);
      state = pick(moves[state], chance.nextDouble());
    }
    return counts;
  }

  /** How much of the time each state takes in the long run. */
  double[] settled() {
    double[] share = new double[rates.length];
    Arrays.fill(share, 1.0 / share.length);
    for (int round = 0; round < 2000; round++) {
      double[] next = new double[share.length];
      for (int from = 0; from < share.length; from++) {
        for (int to = 0; to < share.length; to++) {
          next[to] += share[from] * moves[from][to];
        }
      }
      share = next;
    }
    return share;
  }

  static int pick(double[] shares, double at) {
    double sum = 0;
    for (int i = 0; i < shares.length; i++) {
      sum += shares[i];
      if (at < sum) {
        return i;
      }
    }
    return shares.length - 1;
  }

  static int poisson(double rate, SplittableRandom chance) {
    if (rate > 400) {
      // Two halves, so that e to the minus rate stays a number.
      return poisson(rate / 2, chance) + poisson(rate / 2, chance);
    }
    double limit = Math.exp(-rate);
    int count = 0;
    for (double product = chance.nextDouble(); product > limit; product *= chance.nextDouble()) {
      count++;
    }
    return count;
  }
}
