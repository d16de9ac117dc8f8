package coriandersill.configuration;

/** The content of one configuration document. Immutable. */
public sealed interface Document permits ServiceDocument, WorkspaceDocument, ZoneDocument, RolloutDocument {

    /** The document's name. */
    DocumentName documentName();
}
