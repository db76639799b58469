package org.cuminrack.operator;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminrack.config.ConfigKey;
import org.cuminrack.config.ConfigObject;
import org.cuminrack.config.ServiceKind;

/** Formats configuration objects as YAML, ordered by kind and name. */
final class ConfigurationYaml {

  private static final YAMLMapper MAPPER =
      YAMLMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .serializationInclusion(JsonInclude.Include.NON_NULL)
          .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
          .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
          .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
          .enable(YAMLGenerator.Feature.INDENT_ARRAYS_WITH_INDICATOR)
          .addModule(serviceKindModule())
          .build();

  private ConfigurationYaml() {}

  static String format(Collection<? extends ConfigObject> objects) {
    Map<ConfigKey, ConfigObject> ordered = new TreeMap<>();
    objects.forEach(each -> ordered.put(each.key(), each));
    Map<String, List<ConfigObject>> sections = new LinkedHashMap<>();
    ordered
        .values()
        .forEach(
            each ->
                sections
                    .computeIfAbsent(ConfigSection.of(each.kind()).key(), key -> new ArrayList<>())
                    .add(each));
    try {
      return MAPPER.writeValueAsString(sections);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("can't write the configuration as YAML", e);
    }
  }

  private static SimpleModule serviceKindModule() {
    SimpleModule module = new SimpleModule();
    module.addSerializer(ServiceKind.class, new ServiceKindSerializer());
    return module;
  }
}
