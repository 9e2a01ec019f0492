package plumpost.fleet;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a component of a stored record that exists since a record format: older formats are written without it, and are read
 * with 0 in its place. Such components stand at the end of their record.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
@interface SinceFormat {
    /** The number of the record format. */
    int value();
}
