package org.cuminrack.pool;

/** Validates announcements. */
final class AnnouncementValidator {
  private AnnouncementValidator() {}

  /** Returns an error message; empty if the announcement is valid. */
  static String validate(Announcement announcement) {
    String missingField = missingField(announcement);
    if (!missingField.isEmpty()) {
      return "expected " + missingField + ", found nothing";
    }
    if (announcement.coldLimit() < 1) {
      return "expected cold_limit of at least 1, found " + announcement.coldLimit();
    }
    if (announcement.warmLimit() < announcement.coldLimit()) {
      return "expected warm_limit of at least cold_limit, found " + announcement.warmLimit();
    }
    if (announcement.memoryTokens() < 0) {
      return "expected memory_tokens of at least 0, found " + announcement.memoryTokens();
    }
    return "";
  }

  private static String missingField(Announcement announcement) {
    if (isBlank(announcement.upstream())) {
      return "upstream";
    }
    if (isBlank(announcement.bootId())) {
      return "boot_id";
    }
    if (isBlank(announcement.dataCentre())) {
      return "data_centre";
    }
    if (isBlank(announcement.service())) {
      return "service";
    }
    return isBlank(announcement.address()) ? "address" : "";
  }

  private static boolean isBlank(String text) {
    return text == null || text.isBlank();
  }
}
