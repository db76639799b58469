package review2;

import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in the templates of the settings: values, and sections over a list. */
final class Template {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([a-z-]+)}}\\n(.*?)\\{\\{/\\1}}\\n", Pattern.DOTALL);
  private static final Pattern VALUE = Pattern.compile("\\{\\{([a-z0-9.-]+)}}");

  private Template() {}

  static String render(String template, Map<String, Object> fields) {
    Matcher sections = SECTION.matcher(template);
    StringBuilder withSections = new StringBuilder();
    while (sections.find()) {
      StringBuilder rendered = new StringBuilder();
      for (Object each : (List<?>) fields.get(sections.group(1))) {
        rendered.append(sections.group(2).replace("{{.}}", each.toString()));
      }
      sections.appendReplacement(withSections, Matcher.quoteReplacement(rendered.toString()));
    }
    sections.appendTail(withSections);
    Matcher values = VALUE.matcher(withSections);
    StringBuilder result = new StringBuilder();
    while (values.find()) {
      Object value = fields.get(values.group(1));
      values.appendReplacement(
          result, Matcher.quoteReplacement(value == null ? "" : value.toString()));
    }
    values.appendTail(result);
    return result.toString();
  }
}
