package org.cuminrack.platform;

import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Fills in a template of a settings file as the platform does: values, and sections of lists. */
final class SettingsTemplate {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern VALUE = Pattern.compile("\\{\\{([a-z0-9.-]+)}}");

  private final String text;

  SettingsTemplate(String text) {
    this.text = text;
  }

  String render(Map<String, Object> fields) {
    String withoutSections =
        SECTION
            .matcher(text)
            .replaceAll(
                section ->
                    Matcher.quoteReplacement(
                        renderSection(section.group(2), value(fields, section.group(1)))));
    return VALUE
        .matcher(withoutSections)
        .replaceAll(
            placeholder ->
                Matcher.quoteReplacement(String.valueOf(value(fields, placeholder.group(1)))));
  }

  private static String renderSection(String body, Object value) {
    if (!(value instanceof List<?> entries)) {
      throw new AssertionError("expected a list, found " + value);
    }
    return entries.stream()
        .map(entry -> body.replace("{{.}}", String.valueOf(entry)))
        .collect(Collectors.joining());
  }

  private static Object value(Map<String, Object> fields, String path) {
    Object value = fields;
    for (String key : path.split("\\.", -1)) {
      value =
          value instanceof List<?> list
              ? list.get(Integer.parseInt(key))
              : ((Map<?, ?>) value).get(key);
      if (value == null) {
        throw new AssertionError("expected a field " + path);
      }
    }
    return value;
  }
}
