package tidebank.testbed.chaos;

import java.io.ByteArrayInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.util.Arrays;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;

/**
 * Runs a program whose monotonic clock is fast or slow, of which none of its classes knows: each
 * call of {@link System#nanoTime} outside of the platform's own classes goes to {@link
 * SkewedClock}, by the rate that the property {@code tidebank.chaos.rate} gives. Arguments: the
 * program's main class and its own.
 */
public final class SkewedClockLauncher {
  private SkewedClockLauncher() {}

  public static void main(String[] args)
      throws ReflectiveOperationException, MalformedURLException {
    String[] places = System.getProperty("java.class.path").split(File.pathSeparator);
    URL[] urls = new URL[places.length];
    for (int i = 0; i < places.length; i++) {
      urls[i] = new File(places[i]).toURI().toURL();
    }
    RedirectingClassLoader loader = new RedirectingClassLoader(urls);
    Thread.currentThread().setContextClassLoader(loader);
    Class.forName(args[0], true, loader)
        .getMethod("main", String[].class)
        .invoke(null, (Object) Arrays.copyOfRange(args, 1, args.length));
  }

  /** Loads all but the platform's classes itself, so that it sees each of them before it is one. */
  private static final class RedirectingClassLoader extends URLClassLoader {
    RedirectingClassLoader(URL[] urls) {
      super(urls, ClassLoader.getPlatformClassLoader());
    }

    @Override
    protected Class<?> findClass(String name) throws ClassNotFoundException {
      String file = name.replace('.', '/') + ".class";
      URL url = findResource(file);
      if (url == null) {
        throw new ClassNotFoundException(name);
      }
      try (InputStream in = url.openStream()) {
        byte[] bytes = in.readAllBytes();
        byte[] changed =
            name.equals(SkewedClock.class.getName()) ? bytes : redirectClockCalls(bytes);
        return defineClass(name, changed, 0, changed.length);
      } catch (IOException fault) {
        throw new ClassNotFoundException(name, fault);
      }
    }
  }

  /** The class with its calls of the clock led elsewhere; nothing else of it changes. */
  static byte[] redirectClockCalls(byte[] bytes) throws IOException {
    ClassReader reader = new ClassReader(new ByteArrayInputStream(bytes));
    ClassWriter writer = new ClassWriter(reader, 0);
    reader.accept(
        new ClassVisitor(Opcodes.ASM9, writer) {
          @Override
          public MethodVisitor visitMethod(
              int access, String name, String descriptor, String signature, String[] exceptions) {
            return new MethodVisitor(
                Opcodes.ASM9, super.visitMethod(access, name, descriptor, signature, exceptions)) {
              @Override
              public void visitMethodInsn(
                  int opcode, String owner, String called, String type, boolean ofInterface) {
                boolean clock = owner.equals("java/lang/System") && called.equals("nanoTime");
                super.visitMethodInsn(
                    opcode,
                    clock ? "tidebank/testbed/chaos/SkewedClock" : owner,
                    called,
                    type,
                    ofInterface);
              }
            };
          }
        },
        0);
    return writer.toByteArray();
  }
}
