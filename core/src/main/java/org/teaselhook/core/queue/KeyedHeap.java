package org.teaselhook.core.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A binary min-heap of values with long keys, first in, first out among equal keys. Any element can be removed by the
 * handle that {@link #add} returned. Adding and removing take O(log n), reading the least element takes O(1).
 *
 * <pre>{@code
 * KeyedHeap.Handle<String> handle = heap.add(20, "b");
 * heap.remove(handle);
 * }</pre>
 *
 * @param <T> the type of the values
 */
public final class KeyedHeap<T> {

    /**
     * An element's place in its heap.
     *
     * @param <T> the type of the value
     */
    public static final class Handle<T> {
        private final long key;
        private final long sequence;
        private final T value;
        private int index;

        private Handle(long key, long sequence, T value) {
            this.key = key;
            this.sequence = sequence;
            this.value = value;
        }

        /**
         * Returns the key.
         *
         * @return the key
         */
        public long key() {
            return key;
        }

        /**
         * Returns the value.
         *
         * @return the value
         */
        public T value() {
            return value;
        }

        private boolean isBefore(Handle<T> other) {
            return key != other.key ? key < other.key : sequence < other.sequence;
        }
    }

    private final List<Handle<T>> elements = new ArrayList<>();
    private long nextSequence;

    private KeyedHeap() {}

    // -- factories

    /**
     * Returns an empty heap.
     *
     * @param <T> the type of the values
     * @return the heap
     */
    public static <T> KeyedHeap<T> empty() {
        return new KeyedHeap<>();
    }

    // -- accessors

    /**
     * Returns the number of elements.
     *
     * @return the number, from 0
     */
    public int size() {
        return elements.size();
    }

    /**
     * Tells whether there is no element.
     *
     * @return true if empty
     */
    public boolean isEmpty() {
        return elements.isEmpty();
    }

    /**
     * Finds the element with the least key.
     *
     * @return the element, or empty if there is none
     */
    public Optional<Handle<T>> peek() {
        return elements.isEmpty() ? Optional.empty() : Optional.of(elements.get(0));
    }

    // -- updates

    /**
     * Adds a value.
     *
     * @param key the key
     * @param value the value
     * @return the handle for {@link #remove}
     */
    public Handle<T> add(long key, T value) {
        Handle<T> handle = new Handle<>(key, nextSequence++, value);
        elements.add(handle);
        handle.index = elements.size() - 1;
        siftUp(handle);
        return handle;
    }

    /**
     * Removes an element.
     *
     * @param handle the handle that {@link #add} returned
     * @return true if it was in the heap
     */
    public boolean remove(Handle<T> handle) {
        int index = handle.index;
        if (index < 0) {
            return false;
        }
        Handle<T> last = elements.remove(elements.size() - 1);
        handle.index = -1;
        if (last != handle) {
            place(last, index);
            siftDown(last);
            siftUp(last);
        }
        return true;
    }

    // -- heap order

    private void siftUp(Handle<T> handle) {
        int index = handle.index;
        while (index > 0) {
            int parent = (index - 1) / 2;
            Handle<T> parentHandle = elements.get(parent);
            if (!handle.isBefore(parentHandle)) {
                break;
            }
            place(parentHandle, index);
            index = parent;
        }
        place(handle, index);
    }

    private void siftDown(Handle<T> handle) {
        int index = handle.index;
        while (2 * index + 1 < elements.size()) {
            int child = lesserChild(index);
            Handle<T> childHandle = elements.get(child);
            if (!childHandle.isBefore(handle)) {
                break;
            }
            place(childHandle, index);
            index = child;
        }
        place(handle, index);
    }

    private int lesserChild(int index) {
        int left = 2 * index + 1;
        int right = left + 1;
        boolean rightIsLess = right < elements.size() && elements.get(right).isBefore(elements.get(left));
        return rightIsLess ? right : left;
    }

    private void place(Handle<T> handle, int index) {
        elements.set(index, handle);
        handle.index = index;
    }
}
