package tidebank.testbed.trace.order;

import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;

/**
 * Many streams that are in order as one; of equal elements those of the earlier stream come first.
 * Pure.
 */
public final class Merge {
  private Merge() {}

  public static <T> Iterator<T> of(List<Iterator<T>> sources, Comparator<? super T> order) {
    record Head<T>(T item, int from) {}
    PriorityQueue<Head<T>> heads =
        new PriorityQueue<>(
            Comparator.<Head<T>, T>comparing(Head::item, order).thenComparingInt(Head::from));
    for (int i = 0; i < sources.size(); i++) {
      if (sources.get(i).hasNext()) {
        heads.add(new Head<>(sources.get(i).next(), i));
      }
    }
    return new Iterator<>() {
      @Override
      public boolean hasNext() {
        return !heads.isEmpty();
      }

      @Override
      public T next() {
        Head<T> head = heads.poll();
        if (head == null) {
          throw new NoSuchElementException();
        }
        Iterator<T> source = sources.get(head.from());
        if (source.hasNext()) {
          heads.add(new Head<>(source.next(), head.from()));
        }
        return head.item();
      }
    };
  }
}
