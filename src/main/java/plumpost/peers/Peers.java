package plumpost.peers;

import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import plumpost.config.Json.BadInput;

/**
 * Loads the fleet's part of the program if the configuration has {@code peers}. The libraries of its engine are in
 * {@code lib/fleet} beside the jar and on no class path, so that none of them is opened while peers are off.
 */
public final class Peers {
    private static final String MAKER_CLASS = "plumpost.fleet.engine.FleetMaker";
    private static final String FLEET_PACKAGE = "plumpost.fleet.";

    private Peers() {}

    /** Loads the class that creates fleets; throws bad input if the libraries are missing. */
    public static Fleet.Maker maker() {
        try {
            Path jar = Path.of(Peers.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            Path libraries = jar.resolveSibling("lib").resolve("fleet");
            ClassLoader loader = Peers.class.getClassLoader();
            if (Files.isRegularFile(jar) && Files.isDirectory(libraries)) {
                loader = new FleetClassLoader(urls(jar, libraries), loader);
            }
            return (Fleet.Maker)
                    loader.loadClass(MAKER_CLASS).getDeclaredConstructor().newInstance();
        } catch (ReflectiveOperationException
                | IOException
                | java.net.URISyntaxException
                | NoClassDefFoundError failure) {
            throw new BadInput("peers: the fleet's libraries in lib/fleet cannot be used: " + failure);
        }
    }

    private static URL[] urls(Path jar, Path libraries) throws IOException {
        List<URL> urls = new ArrayList<>();
        urls.add(jar.toUri().toURL());
        try (DirectoryStream<Path> jars = Files.newDirectoryStream(libraries, "*.jar")) {
            for (Path library : jars) {
                urls.add(url(library));
            }
        }
        return urls.toArray(URL[]::new);
    }

    private static URL url(Path library) throws MalformedURLException {
        return library.toUri().toURL();
    }

    /** Loads the fleet's packages itself, since they must see the libraries; the parent loads all other classes. */
    private static final class FleetClassLoader extends URLClassLoader {
        FleetClassLoader(URL[] urls, ClassLoader parent) {
            super(urls, parent);
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded != null
                        ? loaded
                        : name.startsWith(FLEET_PACKAGE) ? findClass(name) : super.loadClass(name, resolve);
            }
        }
    }
}
