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
 * Runs an unmodified program with a fast or slow monotonic clock. While classes load, it redirects
 * their calls of {@link System#nanoTime} to {@link SkewedClock}; the platform's own classes keep
 * the real clock. Arguments: the program's main class, then the program's own arguments.
 */
public final class SkewedClockLauncher {
  private SkewedClockLauncher() {}

  public static void main(String[] args)
      throws ReflectiveOperationException, MalformedURLException {
    String[] classPath = System.getProperty("java.class.path").split(File.pathSeparator);
    URL[] urls = new URL[classPath.length];
    for (int i = 0; i < classPath.length; i++) {
      urls[i] = new File(classPath[i]).toURI().toURL();
    }
    RedirectingClassLoader loader = new RedirectingClassLoader(urls);
    Thread.currentThread().setContextClassLoader(loader);
    Class.forName(args[0], true, loader)
        .getMethod("main", String[].class)
        .invoke(null, (Object) Arrays.copyOfRange(args, 1, args.length));
  }

  /**
   * Loads all classes except the platform's own, and redirects their clock calls before it defines
   * them. It does not delegate to the application class loader, which would load them unchanged.
   */
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
        byte[] redirected =
            name.equals(SkewedClock.class.getName()) ? bytes : redirectClockCalls(bytes);
        return defineClass(name, redirected, 0, redirected.length);
      } catch (IOException fault) {
        throw new ClassNotFoundException(name, fault);
      }
    }
  }

  /**
   * Returns a class file with its calls of {@link System#nanoTime} replaced by calls of {@link
   * SkewedClock#nanoTime}; everything else stays the same.
   *
   * @throws IOException if the class file can't be read
   */
  static byte[] redirectClockCalls(byte[] classFile) throws IOException {
    ClassReader reader = new ClassReader(new ByteArrayInputStream(classFile));
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
                  int opcode, String owner, String method, String type, boolean isInterface) {
                boolean isClockCall = owner.equals("java/lang/System") && method.equals("nanoTime");
                super.visitMethodInsn(
                    opcode,
                    isClockCall ? "tidebank/testbed/chaos/SkewedClock" : owner,
                    method,
                    type,
                    isInterface);
              }
            };
          }
        },
        0);
    return writer.toByteArray();
  }
}
