package org.cuminrack.operator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import java.io.IOException;
import java.util.Locale;
import org.cuminrack.config.ServiceKind;

/** Writes a service kind in lower case, the form used in configuration files. */
final class ServiceKindSerializer extends JsonSerializer<ServiceKind> {

  @Override
  public void serialize(ServiceKind value, JsonGenerator generator, SerializerProvider provider)
      throws IOException {
    generator.writeString(value.name().toLowerCase(Locale.ROOT));
  }
}
