import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Method;
import java.nio.channels.ServerSocketChannel;
import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAccess;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Sets the segment size of a listening socket, an ordinary socket option (TCP_MAXSEG). Segments of
 * the loopback interface hold 64 KiB, and the system's send buffers grow with them to megabytes;
 * with those of an Ethernet, buffers are as small as on a real network.
 */
final class Segments {
  private static final int IPPROTO_TCP = 6;
  private static final int TCP_MAXSEG = 2;

  private Segments() {}

  static void limit(ServerSocketChannel listener, int bytes) {
    try (ResourceScope scope = ResourceScope.newConfinedScope()) {
      Method descriptor = listener.getClass().getMethod("getFDVal");
      descriptor.setAccessible(true);
      int fd = (int) descriptor.invoke(listener);
      MethodHandle setsockopt = CLinker.getInstance().downcallHandle(
          CLinker.systemLookup().lookup("setsockopt").orElseThrow(),
          MethodType.methodType(int.class, int.class, int.class, int.class, MemoryAddress.class, int.class),
          FunctionDescriptor.of(CLinker.C_INT, CLinker.C_INT, CLinker.C_INT, CLinker.C_INT, CLinker.C_POINTER, CLinker.C_INT));
      MemorySegment value = MemorySegment.allocateNative(Integer.BYTES, scope);
      MemoryAccess.setInt(value, bytes);
      int result = (int) setsockopt.invokeExact(fd, IPPROTO_TCP, TCP_MAXSEG, value.address(), Integer.BYTES);
      if (result != 0) {
        throw new Lab.Unplayable("the segment size could not be set");
      }
    } catch (Lab.Unplayable fault) {
      throw fault;
    } catch (Throwable fault) {
      throw new Lab.Unplayable("the segment size could not be set: " + fault);
    }
  }
}
